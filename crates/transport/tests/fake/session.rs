//! Commands and replies of a session on its lease.

use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::frame::Frame;
use hookpoint_transport::lease::BackendLease;

use super::TIMEOUT;

pub fn query(text: &str) -> BackendCommand {
    BackendCommand::Frames(vec![Frame::new(b'Q', format!("{text}\0").into_bytes())])
}

pub fn release(reusable: bool) -> BackendCommand {
    BackendCommand::Release {
        reusable,
        discard: false,
    }
}

/// Reads messages up to and including the next `ReadyForQuery`; `None` if the connection
/// is lost.
pub async fn answer(lease: &mut BackendLease) -> Option<Vec<Frame>> {
    let mut answer = Vec::new();
    loop {
        let reply = tokio::time::timeout(TIMEOUT, lease.replies.recv()).await;
        let BackendReply::Frames(frames) = reply.expect("no reply in time")? else {
            return None;
        };
        answer.extend(frames);
        if answer.last().is_some_and(|frame| frame.tag == b'Z') {
            return Some(answer);
        }
    }
}

pub fn tags(answer: &[Frame]) -> String {
    answer.iter().map(|frame| char::from(frame.tag)).collect()
}

/// Returns `Bind`, `Execute` and `Sync` of a named statement.
pub fn execute(name: &str) -> BackendCommand {
    let bind = [b"\0", name.as_bytes(), &[0; 7]].concat();
    BackendCommand::Frames(vec![
        Frame::new(b'B', bind),
        Frame::new(b'E', vec![0; 5]),
        Frame::new(b'S', Vec::new()),
    ])
}

/// Returns the command that ensures that a statement is prepared on the connection.
pub fn prepare(name: &str, text: &str) -> BackendCommand {
    BackendCommand::EnsurePrepared {
        name: name.to_owned(),
        query: text.to_owned(),
        parameter_types: vec![25],
    }
}

/// Returns the command that sets the session's run-time parameters.
pub fn settings(list: &[(&str, &str)]) -> BackendCommand {
    let pairs = list
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    BackendCommand::EnsureSettings(pairs.collect())
}

/// Sends a command and returns the tags of the messages up to the next `ReadyForQuery`.
pub async fn ask(lease: &mut BackendLease, command: BackendCommand) -> String {
    lease.commands.send(command).await.unwrap();
    match answer(lease).await {
        Some(answer) => tags(&answer),
        None => "lost".to_owned(),
    }
}
