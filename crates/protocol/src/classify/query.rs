//! Determines whether a parsed statement is provably a read and whether it leaves session
//! state behind.

use std::ops::ControlFlow;

use sqlparser::ast::{
    BinaryOperator, DataType, Expr, ObjectName, ObjectNamePart, Query, SetExpr, Statement,
    TableFactor, Visit, Visitor,
};

use super::SessionEffect;
use super::functions;

/// Schema of the built-in functions, types and operators.
const BUILT_IN_SCHEMA: &str = "pg_catalog";
/// Built-in types that `sqlparser` reports as custom types.
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

/// Result of the analysis of a parsed statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueryFacts {
    /// Whether the statement is provably a read.
    pub(super) read: bool,
    /// Session state that the statement leaves on the connection.
    pub(super) effect: SessionEffect,
}

/// Analyses `statement` and everything nested in it.
pub(super) fn facts_of(statement: &Statement) -> QueryFacts {
    let mut visitor = FactsVisitor {
        facts: QueryFacts {
            read: matches!(statement, Statement::Query(_)),
            effect: SessionEffect::None,
        },
    };
    let _ = statement.visit(&mut visitor);
    visitor.facts
}

/// Starts from the assumption that the statement is a read without effect; every construct
/// that is not provably so lowers the facts.
struct FactsVisitor {
    facts: QueryFacts,
}

impl FactsVisitor {
    fn mark_not_read(&mut self) {
        self.facts.read = false;
    }

    fn mark_unknown_effect(&mut self) {
        self.facts.read = false;
        self.facts.effect = SessionEffect::Unknown;
    }

    fn check_call(&mut self, name: &ObjectName) {
        let Some(name) = built_in_name(name) else {
            return self.mark_unknown_effect();
        };
        if !functions::leaves_no_session_state(&name) {
            self.mark_unknown_effect();
        } else if !functions::is_read(&name) {
            self.mark_not_read();
        }
    }

    fn check_cast(&mut self, data_type: &DataType) {
        match data_type {
            DataType::Custom(name, _) => {
                let known =
                    built_in_name(name).is_some_and(|name| BUILT_IN_TYPES.contains(&&*name));
                if !known {
                    self.mark_unknown_effect();
                }
            }
            DataType::Array(element) => {
                use sqlparser::ast::ArrayElemTypeDef as Element;
                match element {
                    Element::None => {}
                    Element::AngleBracket(inner)
                    | Element::SquareBracket(inner, _)
                    | Element::Parenthesis(inner) => self.check_cast(inner),
                }
            }
            _ => {}
        }
    }

    fn check_operator(&mut self, operator: &BinaryOperator) {
        match operator {
            BinaryOperator::Custom(_) => self.mark_unknown_effect(),
            BinaryOperator::PGCustomBinaryOperator(parts)
                if parts.len() != 2 || parts[0] != BUILT_IN_SCHEMA =>
            {
                self.mark_unknown_effect();
            }
            _ => {}
        }
    }

    fn check_body(&mut self, body: &SetExpr) {
        match body {
            SetExpr::Select(select) => {
                if select.into.is_some() {
                    self.mark_not_read();
                }
            }
            SetExpr::SetOperation { left, right, .. } => {
                self.check_body(left);
                self.check_body(right);
            }
            SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => {}
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => {
                self.mark_not_read();
            }
        }
    }
}

impl Visitor for FactsVisitor {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        if !matches!(statement, Statement::Query(_)) {
            self.mark_not_read();
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let other_dialect_clause = query.for_clause.is_some()
            || query.settings.is_some()
            || query.format_clause.is_some()
            || !query.pipe_operators.is_empty();
        if !query.locks.is_empty() || other_dialect_clause {
            self.mark_not_read();
        }
        self.check_body(&query.body);
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { args: None, .. }
            | TableFactor::Derived { .. }
            | TableFactor::UNNEST { .. }
            | TableFactor::NestedJoin { .. } => {}
            TableFactor::Table { name, .. } | TableFactor::Function { name, .. } => {
                self.check_call(name);
            }
            _ => self.mark_unknown_effect(),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        match expression {
            Expr::Function(function) => self.check_call(&function.name),
            Expr::BinaryOp { op, .. } => self.check_operator(op),
            Expr::AnyOp { compare_op, .. } | Expr::AllOp { compare_op, .. } => {
                self.check_operator(compare_op);
            }
            Expr::Cast { data_type, .. } => self.check_cast(data_type),
            Expr::TypedString(typed) => self.check_cast(&typed.data_type),
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

/// Returns the unqualified name after case folding if `name` is unqualified or in the
/// built-in schema, else `None`.
fn built_in_name(name: &ObjectName) -> Option<String> {
    let parts: Option<Vec<String>> = name.0.iter().map(fold_case).collect();
    match parts?.as_slice() {
        [name] => Some(name.clone()),
        [schema, name] if schema == BUILT_IN_SCHEMA => Some(name.clone()),
        _ => None,
    }
}

/// Folds an unquoted identifier to lower case and leaves a quoted one as it is, so that a
/// quoted name with capitals does not match a built-in name.
fn fold_case(part: &ObjectNamePart) -> Option<String> {
    let ident = part.as_ident()?;
    match ident.quote_style {
        None => Some(ident.value.to_lowercase()),
        Some(_) => Some(ident.value.clone()),
    }
}
