//! Proof that a parsed query is a read, and that it leaves nothing in the session.

use std::ops::ControlFlow;

use sqlparser::ast::{
    BinaryOperator, DataType, Expr, ObjectName, ObjectNamePart, Query, SetExpr, Statement,
    TableFactor, Visit, Visitor,
};

use super::SessionEffect;
use super::functions;

/// Schema of the built-in functions and operators.
const BUILT_IN_SCHEMA: &str = "pg_catalog";
/// Built-in types that the parser does not know by name.
const BUILT_IN_TYPES: &[&str] = &[
    "box",
    "cidr",
    "circle",
    "citext",
    "inet",
    "int2vector",
    "jsonpath",
    "line",
    "lseg",
    "macaddr",
    "macaddr8",
    "money",
    "name",
    "oid",
    "oidvector",
    "path",
    "pg_lsn",
    "point",
    "polygon",
    "regclass",
    "regconfig",
    "regdictionary",
    "regnamespace",
    "regoper",
    "regoperator",
    "regproc",
    "regprocedure",
    "regrole",
    "regtype",
    "timetz",
    "tsquery",
    "tsvector",
    "xid",
    "xid8",
    "xml",
    "char",
    "int4range",
    "int8range",
    "numrange",
    "tsrange",
    "tstzrange",
    "daterange",
    "bpchar",
    "float4",
    "float8",
];

/// What is known of a parsed statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueryFacts {
    /// Whether it is provably a read.
    pub(super) read: bool,
    /// What it leaves in the session.
    pub(super) effect: SessionEffect,
}

/// Walks `statement` and everything in it.
pub(super) fn facts_of(statement: &Statement) -> QueryFacts {
    let mut walk = Walk {
        facts: QueryFacts {
            read: matches!(statement, Statement::Query(_)),
            effect: SessionEffect::None,
        },
    };
    let _ = statement.visit(&mut walk);
    walk.facts
}

struct Walk {
    facts: QueryFacts,
}

impl Walk {
    fn not_a_read(&mut self) {
        self.facts.read = false;
    }

    fn unknown_effect(&mut self) {
        self.facts.read = false;
        self.facts.effect = SessionEffect::Unknown;
    }

    fn call(&mut self, name: &ObjectName) {
        let Some(name) = built_in_name(name) else {
            return self.unknown_effect();
        };
        if !functions::leaves_no_session_state(&name) {
            self.unknown_effect();
        } else if !functions::is_read(&name) {
            self.not_a_read();
        }
    }

    fn cast_to(&mut self, data_type: &DataType) {
        match data_type {
            DataType::Custom(name, _) => {
                let known =
                    built_in_name(name).is_some_and(|name| BUILT_IN_TYPES.contains(&&*name));
                if !known {
                    self.unknown_effect();
                }
            }
            DataType::Array(element) => {
                use sqlparser::ast::ArrayElemTypeDef as Element;
                match element {
                    Element::None => {}
                    Element::AngleBracket(inner)
                    | Element::SquareBracket(inner, _)
                    | Element::Parenthesis(inner) => self.cast_to(inner),
                }
            }
            _ => {}
        }
    }

    fn operator(&mut self, operator: &BinaryOperator) {
        match operator {
            BinaryOperator::Custom(_) => self.unknown_effect(),
            BinaryOperator::PGCustomBinaryOperator(parts)
                if parts.len() != 2 || parts[0] != BUILT_IN_SCHEMA =>
            {
                self.unknown_effect();
            }
            _ => {}
        }
    }

    fn body(&mut self, body: &SetExpr) {
        match body {
            SetExpr::Select(select) => {
                if select.into.is_some() {
                    self.not_a_read();
                }
            }
            SetExpr::SetOperation { left, right, .. } => {
                self.body(left);
                self.body(right);
            }
            SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => {}
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => {
                self.not_a_read();
            }
        }
    }
}

impl Visitor for Walk {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        if !matches!(statement, Statement::Query(_)) {
            self.not_a_read();
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let foreign_clause = query.for_clause.is_some()
            || query.settings.is_some()
            || query.format_clause.is_some()
            || !query.pipe_operators.is_empty();
        if !query.locks.is_empty() || foreign_clause {
            self.not_a_read();
        }
        self.body(&query.body);
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { args: None, .. }
            | TableFactor::Derived { .. }
            | TableFactor::UNNEST { .. }
            | TableFactor::NestedJoin { .. } => {}
            TableFactor::Table { name, .. } | TableFactor::Function { name, .. } => {
                self.call(name);
            }
            _ => self.unknown_effect(),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        match expression {
            Expr::Function(function) => self.call(&function.name),
            Expr::BinaryOp { op, .. } => self.operator(op),
            Expr::AnyOp { compare_op, .. } | Expr::AllOp { compare_op, .. } => {
                self.operator(compare_op);
            }
            Expr::Cast { data_type, .. } => self.cast_to(data_type),
            Expr::TypedString(typed) => self.cast_to(&typed.data_type),
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

/// The name in lower case, if it is unqualified or in the built-in schema.
fn built_in_name(name: &ObjectName) -> Option<String> {
    let parts: Option<Vec<String>> = name.0.iter().map(lower_case).collect();
    match parts?.as_slice() {
        [name] => Some(name.clone()),
        [schema, name] if schema == BUILT_IN_SCHEMA => Some(name.clone()),
        _ => None,
    }
}

/// Unquoted parts fold to lower case. A quoted part in capitals is no built-in one.
fn lower_case(part: &ObjectNamePart) -> Option<String> {
    let ident = part.as_ident()?;
    match ident.quote_style {
        None => Some(ident.value.to_lowercase()),
        Some(_) => Some(ident.value.clone()),
    }
}
