//! Processes of the project's program, started as the deploy file says.

use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

use crate::deployment::Places;

/// Arguments of the program in the deploy file.
const ARGUMENTS: [&str; 2] = ["--metrics", "7450/metrics"];

/// Ids of all processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and are not known to have ended.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _gone = Command::new("kill")
            .arg("-KILL")
            .arg(id.to_string())
            .status();
    }
}

pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    program: PathBuf,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of the node at `ip`.
    pub fn new(name: &str, zone: &str, ip: IpAddr, places: &Places, root: &Path) -> Self {
        let settings = places.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, places.settings(name, zone, ip)).expect("write settings");
        Self {
            name: name.to_owned(),
            ip,
            front: SocketAddr::new(ip, places.front_port),
            program: root.join("target/release/hookpoint-node"),
            root: root.to_owned(),
            log: places.folder.join(format!("{name}.log")),
            settings,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("open a log");
        let child = Command::new(&self.program)
            .args(ARGUMENTS)
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOOKPOINT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("share a log"))
            .stderr(log)
            .spawn();
        let child = child.expect("start the program");
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Starts the process again, with the settings of a start that is not the first.
    pub fn start_again(&mut self) {
        let first = std::fs::read_to_string(&self.settings).expect("read settings");
        let later = first.replace("bootstrap = true", "bootstrap = false");
        std::fs::write(&self.settings, later).expect("write settings");
        self.start();
    }

    /// Sends a signal to the process.
    #[allow(dead_code)]
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let sent = Command::new("kill")
                .arg(signal)
                .arg(child.id().to_string())
                .status();
            sent.expect("send a signal");
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _gone = child.kill();
            let _status = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the lines that the process has written.
    pub fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
