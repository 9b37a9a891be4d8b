//! Command-line arguments.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// A PostgreSQL proxy fleet with session consistency.
    cmd hookpoint {
        /// Run a proxy until SIGTERM or SIGINT. A second signal ends it immediately.
        cmd proxy {
            /// Settings file; flags override it.
            required --settings file: PathBuf
            /// Zone of this machine.
            optional --zone name: String
            /// Region of the zone.
            optional --region name: String
            /// Address to listen on for callers.
            optional --callers address: SocketAddr
            /// Address to listen on for other proxies.
            optional --peers address: SocketAddr
            /// Address that other proxies reach this one by.
            optional --advertise address: SocketAddr
            /// Peer address of a proxy that is likely to run.
            repeated --seed address: SocketAddr
            /// Address to listen on for operators.
            optional --admin address: SocketAddr
            /// Base URL of the platform's key-value service.
            repeated --platform url: String
        }

        /// Print the version of this program.
        cmd version {}

        /// Settings of a proxy.
        cmd settings {
            /// Check a settings file; problems name file, line, key and reason.
            cmd check-settings check {
                required file: PathBuf
            }
        }

        /// Operators' keys.
        cmd key {
            /// Print a new key pair; keep the secret key private.
            cmd generate {}
            /// Print the public key and the name of a secret key.
            cmd public {
                /// File of the secret key.
                required --key file: PathBuf
            }
        }

        /// Configuration bundles.
        cmd bundle {
            /// Settings file to take the platform's URLs and the trusted keys from.
            optional --settings file: PathBuf
            /// Base URL of the platform's key-value service.
            repeated --platform url: String
            /// Your name, for the history; the user's name if not given.
            optional --operator name: String
            /// Seconds that the command may take in all, retries included; 15 if not
            /// given.
            optional --timeout seconds: u64

            /// Check a document; problems name file, line, key and reason.
            cmd check {
                required file: PathBuf
            }
            /// Store a document under the next version.
            cmd prepare {
                /// Give it a version above this one; needed once after the platform was
                /// restored from a backup older than what the fleet has in force.
                optional --above version: u64
                required file: PathBuf
            }
            /// Sign a prepared version.
            cmd approve {
                /// File of your secret key.
                required --key file: PathBuf
                required version: u64
            }
            /// Put an approved version in force.
            cmd roll {
                /// Version expected to be in force; any other version is a conflict.
                optional --seen version: u64
                required version: u64
            }
            /// Show the bundle in force and the prepared bundles.
            cmd status {}
            /// List the bundles that were in force before.
            cmd history {
                /// How many versions back; 20 if not given.
                optional --count versions: u64
            }
        }

        /// Explain why requests were routed, held or refused.
        cmd explain {
            /// Base URL of the proxy's operators' endpoint.
            optional --admin url: String
            /// Only this session.
            optional --session number: u64
            /// Read nodes' event logs instead: a file, or - for standard input.
            optional --log file: PathBuf
            /// With --log: the events of this request.
            optional --request id: String
            /// With --log: the events of this database.
            optional --database name: String
            /// With --log: where this configuration came into force.
            optional --configuration version: u64
            /// With --log: the progress of this zone's evacuation.
            optional --zone name: String
        }

        /// Status of the fleet.
        cmd fleet {
            /// List the nodes, and count those without the newest bundle in force.
            cmd fleet-status status {
                /// Base URL of any proxy's operators' endpoint.
                required --admin url: String
            }
        }
    }
}
