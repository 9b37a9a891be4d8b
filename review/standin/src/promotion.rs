//! Stand-in of the platform's promotion service, by PROTOCOL.md.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::database::Service;
use crate::http;
use crate::record::Record;

/// A call that arrived.
#[derive(Clone, Debug)]
pub struct Call {
    pub holder: String,
    pub token: u64,
    pub id: String,
}

/// What a promotion that took effect left: the position of the database and the time.
#[derive(Clone, Debug)]
pub struct Effect {
    pub call: Call,
    pub at_ms: u64,
    /// Ids of the commits that the database led with.
    pub held: Vec<String>,
}

#[derive(Default)]
struct State {
    highest: u64,
    calls: Vec<Call>,
    effects: Vec<Effect>,
}

/// The promotion service.
#[derive(Clone)]
pub struct Promotions {
    state: Arc<Mutex<State>>,
    service: Service,
    /// Time from a call until the database named leads.
    promote_time: Duration,
    record: Arc<Record>,
}

impl Promotions {
    pub fn start(
        listener: TcpListener,
        service: Service,
        promote_time: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let promotions = Self {
            state: Arc::default(),
            service,
            promote_time,
            record: Arc::clone(record),
        };
        let serving = promotions.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serving.clone();
                tokio::spawn(async move { serving.serve(stream).await });
            }
        });
        promotions
    }

    pub fn calls(&self) -> Vec<Call> {
        self.state.lock().unwrap().calls.clone()
    }

    pub fn effects(&self) -> Vec<Effect> {
        self.state.lock().unwrap().effects.clone()
    }

    async fn serve(&self, stream: TcpStream) {
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        while let Ok(Some(request)) = http::read(&mut reader).await {
            let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
            let call = Call {
                holder: header("x-duty-holder"),
                token: header("x-fencing-token").parse().unwrap_or(0),
                id: request.body["id"].as_str().unwrap_or("").to_owned(),
            };
            self.state.lock().unwrap().calls.push(call.clone());
            self.record.line(format!("promotion call {call:?}"));
            let status = self.carry_out(&call);
            self.record
                .line(format!("promotion call {call:?} is answered {status}"));
            let body: Value = json!({});
            if http::write(&mut writer, status, &body).await.is_err() {
                return;
            }
        }
    }

    /// Checks the fence and starts the promotion. Returns the status of the answer.
    fn carry_out(&self, call: &Call) -> u16 {
        let mut state = self.state.lock().unwrap();
        if call.token < state.highest {
            return 409;
        }
        state.highest = call.token;
        drop(state);
        let databases = self.service.state();
        let named = databases
            .databases
            .iter()
            .position(|database| database.id == call.id);
        let Some(index) = named.filter(|index| databases.databases[*index].up) else {
            return 409;
        };
        if databases.primary == index {
            return 200;
        }
        drop(databases);
        let promotions = self.clone();
        let call = call.clone();
        tokio::spawn(async move {
            sleep(promotions.promote_time).await;
            let at_ms = promotions.record.now_ms();
            promotions.service.promote(index);
            let held = promotions
                .service
                .state()
                .log
                .iter()
                .map(|commit| commit.id.clone())
                .collect();
            promotions
                .state
                .lock()
                .unwrap()
                .effects
                .push(Effect { call, at_ms, held });
        });
        200
    }
}
