//! Selects the events that explain one request, database, configuration or zone evacuation from
//! the nodes' event logs.

use serde_json::Value;

/// Events that change a node's state and thereby explain the requests at about the same time.
const STATE_EVENTS: [&str; 16] = [
    "started",
    "stop_requested",
    "leader_confirmed",
    "leader_refuted",
    "primary_unreachable",
    "primary_regained",
    "primary_lost",
    "promotion_ordered",
    "promotion_answered",
    "step_down_ordered",
    "dependency_lost",
    "dependency_regained",
    "database_changed",
    "database_restarted",
    "database_missing",
    "configuration_in_force",
];
/// Events of a zone's evacuation that carry the zone's name.
const ZONE_EVENTS: [&str; 4] = [
    "evacuation_changed",
    "zone_emptied",
    "zone_in_use",
    "handover_decided",
];
/// Events that report the outcome of a move of a group's primary.
const PROMOTION_EVENTS: [&str; 4] = [
    "promotion_ordered",
    "promotion_answered",
    "no_candidate",
    "primary_found",
];
/// State changes this long before a request are included, in milliseconds.
const STATE_BEFORE_MS: u64 = 10_000;
/// State changes this long after a request are included, in milliseconds.
const STATE_AFTER_MS: u64 = 1_000;
/// Difference between a node's wall and monotonic clocks beyond which a step of the wall clock is
/// marked, in milliseconds.
const CLOCK_STEP_MS: i64 = 250;

/// The subject to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A request, by its id.
    Request(String),
    /// A database, by its name.
    Database(String),
    /// A configuration, by its version.
    Configuration(u64),
    /// A zone that is or was under evacuation, by its name.
    Zone(String),
}

/// An event read from a log.
#[derive(Clone, Debug)]
pub struct Event {
    /// Wall-clock time on the node, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Monotonic time on the node, in milliseconds from an origin of its own.
    pub steady_ms: u64,
    /// Name of the node.
    pub node: String,
    /// Kind of the event.
    pub name: String,
    /// All fields of the event, including those above.
    pub fields: Value,
}

impl Event {
    /// Parses a line. A prefix before the JSON object is skipped. Returns `None` if the line is
    /// not an event.
    pub fn parse(line: &str) -> Option<Self> {
        let object = &line[line.find('{')?..];
        let fields: Value = serde_json::from_str(object).ok()?;
        Some(Self {
            wall_ms: fields["wall_ms"].as_u64()?,
            steady_ms: fields["at_ms"].as_u64()?,
            node: fields["node"].as_str()?.to_owned(),
            name: fields["event"].as_str()?.to_owned(),
            fields,
        })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields[field].as_str()
    }

    fn names_database(&self, name: &str) -> bool {
        ["database", "leader", "candidate", "dependency"]
            .iter()
            .any(|field| self.text(field) == Some(name))
    }

    fn is_state_change(&self) -> bool {
        STATE_EVENTS.contains(&self.name.as_str())
    }
}

/// Returns the events that explain `subject`, ordered by wall-clock time.
pub fn select(events: &[Event], subject: &Subject) -> Vec<Event> {
    let mut chosen: Vec<Event> = match subject {
        Subject::Request(id) => select_request(events, id),
        Subject::Database(name) => events
            .iter()
            .filter(|event| event.names_database(name))
            .cloned()
            .collect(),
        Subject::Configuration(version) => events
            .iter()
            .filter(|event| {
                event.name == "configuration_in_force"
                    && event.fields["version"].as_u64() == Some(*version)
            })
            .cloned()
            .collect(),
        Subject::Zone(zone) => select_zone(events, zone),
    };
    chosen.sort_by_key(|event| event.wall_ms);
    chosen
}

fn select_request(events: &[Event], id: &str) -> Vec<Event> {
    let own: Vec<&Event> = events
        .iter()
        .filter(|event| event.text("request") == Some(id))
        .collect();
    let Some(first) = own.first() else {
        return Vec::new();
    };
    let group = own.iter().find_map(|event| event.text("group"));
    let from = first.wall_ms.saturating_sub(STATE_BEFORE_MS);
    let until = first.wall_ms + STATE_AFTER_MS;
    events
        .iter()
        .filter(|event| {
            let near = (from..=until).contains(&event.wall_ms);
            let same_group = group.is_some() && event.text("group") == group;
            let same_node = event.node == first.node;
            let state_change = near && event.is_state_change() && (same_group || same_node);
            event.text("request") == Some(id) || state_change
        })
        .cloned()
        .collect()
}

/// Returns the events of a zone's evacuation: what the nodes learnt and found in use, and the
/// moves of its primaries with their outcomes.
fn select_zone(events: &[Event], zone: &str) -> Vec<Event> {
    let of_zone = |event: &&Event| {
        event.text("zone") == Some(zone) && ZONE_EVENTS.contains(&event.name.as_str())
    };
    let own: Vec<&Event> = events.iter().filter(of_zone).collect();
    let Some(from) = own.iter().map(|event| event.wall_ms).min() else {
        return Vec::new();
    };
    let moved = |group: &str| own.iter().any(|event| event.text("group") == Some(group));
    events
        .iter()
        .filter(|event| {
            let promotion = PROMOTION_EVENTS.contains(&event.name.as_str());
            let of_move = promotion && event.text("group").is_some_and(moved);
            of_zone(event) || (of_move && event.wall_ms >= from)
        })
        .cloned()
        .collect()
}

/// Formats one line per event, with a mark where a node's wall clock was stepped.
pub fn format_lines(events: &[Event]) -> Vec<String> {
    let mut lines = Vec::with_capacity(events.len());
    for (index, event) in events.iter().enumerate() {
        let before = events[..index]
            .iter()
            .rev()
            .find(|other| other.node == event.node);
        let mark = match before {
            Some(before) if is_stepped(before, event) => " (its clock was stepped)",
            _ => "",
        };
        let fields = event.fields.as_object().map(format_fields);
        lines.push(format!(
            "{}.{:03} {}{mark} {}{}",
            event.wall_ms / 1_000,
            event.wall_ms % 1_000,
            event.node,
            event.name,
            fields.unwrap_or_default()
        ));
    }
    lines
}

fn is_stepped(before: &Event, event: &Event) -> bool {
    let difference = |later: u64, earlier: u64| {
        i64::try_from(later).unwrap_or(i64::MAX) - i64::try_from(earlier).unwrap_or(i64::MAX)
    };
    let restarted = event.steady_ms < before.steady_ms;
    let wall = difference(event.wall_ms, before.wall_ms);
    let steady = difference(event.steady_ms, before.steady_ms);
    !restarted && (wall - steady).abs() > CLOCK_STEP_MS
}

fn format_fields(fields: &serde_json::Map<String, Value>) -> String {
    let mut text = String::new();
    for (name, value) in fields {
        if !matches!(name.as_str(), "wall_ms" | "at_ms" | "node" | "event") {
            text.push_str(&format!(" {name}={value}"));
        }
    }
    text
}
