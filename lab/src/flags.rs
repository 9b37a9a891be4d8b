//! Command-line arguments. The macro generates the types without doc comments.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Stand-ins, workload, simulator and measurements of hookpoint.
    cmd hookpoint-lab {
        /// Runs the database stand-ins alone and prints their addresses as JSON.
        cmd database {
            /// costa-rica (default) or greece.
            optional --deployment deployment: String
            /// Seed of the randomness in elections; 1 by default.
            optional --seed seed: u64
            /// Replay lag of replicas, in milliseconds.
            optional --lag-ms lag_ms: u64
        }
        /// Runs the platform stand-in alone and prints its address as JSON.
        cmd platform {
            /// Requests per second that are accepted; no limit by default.
            optional --requests-per-second requests_per_second: f64
        }
        /// Runs stand-ins and three proxies, and reads faults from standard input.
        cmd serve {
            /// costa-rica (default) or greece.
            optional --deployment deployment: String
            /// File of faults, one per line, as `at SECONDS FAULT`.
            optional --faults faults: PathBuf
            /// Seed of all randomness; 1 by default.
            optional --seed seed: u64
            /// Number of proxies, at most one per zone; 0 starts only stand-ins and rolls a
            /// bundle.
            optional --proxies proxies: usize
        }
        /// Relays bytes between callers and one address, as a baseline for a proxy.
        cmd relay {
            /// Address as ip:port.
            required --target target: String
        }
        /// Simulates proxies and databases in virtual time, and checks every invariant.
        cmd sim {
            /// Seeds as A..B, B excluded; 1..101 by default.
            optional --seeds seeds: String
            /// costa-rica (default) or greece.
            optional --deployment deployment: String
            /// all (default), none, or the maximum number of faults in a run.
            optional --faults faults: String
            /// Deliberate defect in the code, such as skip-evidence.
            optional --mutation mutation: String
            /// Runs all mutations and prints after how many seeds each is found.
            optional --mutations
            /// Runs the failures of an earlier report again.
            optional --replay replay: PathBuf
            /// Explores the small models exhaustively.
            optional --models
            /// Number of threads; one per processor by default.
            optional --threads threads: usize
            /// File for the JSON report.
            optional --report report: PathBuf
        }
        /// Runs a deployment with its workload and faults, and checks the history.
        cmd demo {
            /// costa-rica (default) or greece.
            optional --deployment deployment: String
            /// Length of the workload in seconds; 30 by default.
            optional --seconds seconds: u64
            /// Seed of all randomness; 1 by default.
            optional --seed seed: u64
            /// File for the JSON report.
            optional --report report: PathBuf
            /// File for the whole history as JSON.
            optional --history history: PathBuf
            /// Disables a protection as a negative control, which the checker must detect:
            /// check, term or guard.
            optional --without without: String
            /// Replay lag of replicas, in milliseconds.
            optional --lag-ms lag_ms: u64
            /// Client sessions for each database.
            optional --clients clients: usize
            /// Runs only the workload, without faults.
            optional --calm
        }
        /// Puts load on any PostgreSQL address and measures latencies.
        cmd load {
            /// Address as ip:port; may be given several times.
            repeated --address address: String
            /// Database, which names the group at a proxy.
            optional --database database: String
            /// User, which names the tenant at a proxy.
            optional --user user: String
            /// Password, if one is asked for.
            optional --password password: String
            /// messaging, metering, reads, writes or trivial (default).
            optional --mix mix: String
            /// costa-rica (default) or greece: the deployment whose tables are used.
            optional --deployment deployment: String
            /// Requests per second over all sessions, as an open loop.
            optional --rate rate: f64
            /// Pause of each session between requests, as a closed loop.
            optional --pause-ms pause_ms: u64
            /// Sessions that send requests; 10 by default.
            optional --sessions sessions: usize
            /// Sessions that stay idle.
            optional --idle idle: usize
            /// Seconds of the measurement; 10 by default.
            optional --seconds seconds: u64
            /// Warm-up before the measurement, in seconds; 1 by default.
            optional --warm-up warm_up: u64
            /// Seed of all randomness; 1 by default.
            optional --seed seed: u64
            /// Process whose memory and processor time are measured during the load.
            optional --observe pid: u32
            /// File for the JSON report.
            optional --report report: PathBuf
        }
        /// Measures fleets of hollow nodes on real sockets.
        cmd scale {
            /// Sizes, such as 10,30,100.
            optional --nodes nodes: String
            /// Zones; 5 by default.
            optional --zones zones: usize
            /// Databases in the bundle; two for each node by default.
            optional --databases databases: usize
            /// Groups that each node uses; 1 by default.
            optional --groups groups: usize
            /// Seconds of measurement without changes at each size; 20 by default.
            optional --seconds seconds: u64
            /// Seed that assigns groups to nodes; 1 by default.
            optional --seed seed: u64
            /// File for the JSON report.
            optional --report report: PathBuf
        }
        /// Measures the memory that idle connections take in another process.
        cmd idle {
            /// Address as ip:port.
            required --address address: String
            /// Id of the process that serves the address.
            required --process process: u32
            /// Numbers of connections; 1000,5000,10000 by default.
            optional --connections connections: String
            /// Database; the first group of the deployment by default.
            optional --database database: String
            /// User; `load` by default.
            optional --user user: String
            /// File for the JSON report.
            optional --report report: PathBuf
        }
        /// Runs an experiment and writes its report.
        cmd experiment {
            /// Description of the experiment, a TOML file such as those in lab/experiments.
            required file: PathBuf
            /// Value of an address that the description refers to, as name=ip:port.
            repeated --set set: String
            /// Directory for the report; the name of the file without its ending by
            /// default.
            optional --report report: PathBuf
        }
    }
}
