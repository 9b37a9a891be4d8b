//! Statements that the proxy answers by itself because they concern the session and not a
//! database.

use hookpoint_protocol::classify::{SettingChange, StatementKind, UnitClass};
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::reply;
use hookpoint_protocol::tags::backend;

/// Run-time parameter that holds the session's token.
pub const TOKEN_SETTING: &str = "hookpoint.token";
/// Run-time parameter that holds the identifier of the next write, which makes that write
/// not repeatable.
pub const REQUEST_ID_SETTING: &str = "hookpoint.request_id";

/// A run-time parameter of the proxy itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalSetting {
    /// [`TOKEN_SETTING`].
    Token,
    /// [`REQUEST_ID_SETTING`].
    RequestId,
}

impl LocalSetting {
    /// Returns the setting called `name`, if it is one of the proxy's own.
    pub fn named(name: &str) -> Option<Self> {
        if name.eq_ignore_ascii_case(TOKEN_SETTING) {
            Some(Self::Token)
        } else if name.eq_ignore_ascii_case(REQUEST_ID_SETTING) {
            Some(Self::RequestId)
        } else {
            None
        }
    }

    /// Returns the parameter name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Token => TOKEN_SETTING,
            Self::RequestId => REQUEST_ID_SETTING,
        }
    }
}

/// Returns whether `text` changes one of the proxy's own parameters in a way that the
/// proxy would not apply itself: among other statements, or through `set_config`.
pub fn changes_own_setting(text: &str, class: &UnitClass) -> bool {
    let lower = text.to_ascii_lowercase();
    if lower.contains("set_config") {
        return lower.contains(TOKEN_SETTING) || lower.contains(REQUEST_ID_SETTING);
    }
    class.settings.iter().any(|change| match change {
        SettingChange::Set { name, .. } | SettingChange::Reset { name } => {
            LocalSetting::named(name).is_some()
        }
        SettingChange::ResetAll => false,
    })
}

/// A statement that the proxy answers by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalStatement {
    /// `SHOW` of one of the proxy's own parameters.
    Show(LocalSetting),
    /// `SET` of one of the proxy's own parameters; `None` is `RESET`.
    Set(LocalSetting, Option<String>),
    /// `DEALLOCATE` of one statement, or of all (`None`).
    Deallocate(Option<String>),
    /// `DISCARD ALL`.
    DiscardAll,
}

impl LocalStatement {
    /// Returns the local statement that `text` consists of, if it is exactly one.
    pub fn parse(text: &str, class: &UnitClass) -> Option<Self> {
        if class.statements.len() > 1 {
            return None;
        }
        let sets = class.statements == [StatementKind::Set];
        if let Some(name) = &class.show {
            return LocalSetting::named(name).map(Self::Show);
        }
        match class.settings.as_slice() {
            _ if !sets => {}
            [SettingChange::Set { name, value, .. }] => {
                let setting = LocalSetting::named(name)?;
                return Some(Self::Set(setting, Some(value.clone())));
            }
            [SettingChange::Reset { name }] => {
                return LocalSetting::named(name).map(|setting| Self::Set(setting, None));
            }
            _ => {}
        }
        Self::parse_words(text)
    }

    fn parse_words(text: &str) -> Option<Self> {
        let text = text.trim().trim_end_matches(';');
        let mut words = text.split_ascii_whitespace();
        let first = words.next()?.to_ascii_uppercase();
        match first.as_str() {
            "DISCARD" => {
                let all = words.next()?.eq_ignore_ascii_case("all");
                (all && words.next().is_none()).then_some(Self::DiscardAll)
            }
            "DEALLOCATE" => {
                let mut name = words.next()?;
                if name.eq_ignore_ascii_case("prepare") {
                    name = words.next()?;
                }
                if words.next().is_some() {
                    return None;
                }
                let all = name.eq_ignore_ascii_case("all");
                Some(Self::Deallocate((!all).then(|| identifier(name))))
            }
            _ => None,
        }
    }

    /// Returns the message that describes the statement's result rows.
    pub fn description(&self) -> Frame {
        match self {
            Self::Show(setting) => reply::text_column(setting.name()),
            _ => reply::empty(backend::NO_DATA),
        }
    }

    /// Returns the command tag of the answer.
    pub fn tag(&self) -> &'static str {
        match self {
            Self::Show(_) => "SHOW",
            Self::Set(_, Some(_)) => "SET",
            Self::Set(_, None) => "RESET",
            Self::Deallocate(Some(_)) => "DEALLOCATE",
            Self::Deallocate(None) => "DEALLOCATE ALL",
            Self::DiscardAll => "DISCARD ALL",
        }
    }
}

fn identifier(word: &str) -> String {
    match word
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
    {
        Some(quoted) => quoted.replace("\"\"", "\""),
        None => word.to_ascii_lowercase(),
    }
}
