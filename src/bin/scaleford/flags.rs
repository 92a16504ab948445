//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Asks a router of the fleet, and tells it what to serve.
    cmd scaleford {
        /// IP:PORT of any router's operators' address; else SCALEFORD_OPERATOR.
        optional --operator operator: String
        /// The operator's token; else SCALEFORD_TOKEN.
        optional --token token: String
        /// Prints the answer as JSON.
        optional --json

        /// Shows the fleet as the router sees it.
        cmd status {}
        /// Tells what was decided about a request, and why.
        cmd explain {
            /// The call's id: its caller's own, or the answer's x-scaleford-request header.
            required request: String
            /// Reads these logs of routers in place of asking the fleet.
            repeated --log file: PathBuf
        }
        /// Checks a whole configuration without a fleet; tells all faults at once.
        cmd check-config {
            /// A JSON file, or - for standard input.
            required file: String
        }
        /// Shows the configuration in force.
        cmd config {}
        /// States what should be served.
        cmd intent {
            /// Prints what an intent would change; changes nothing.
            cmd plan {
                /// A JSON file, or - for standard input.
                required file: String
            }
            /// Carries a plan out.
            cmd confirm {
                /// A file with the plan as JSON, or - for standard input.
                required plan: String
            }
            /// Lists the recent changes.
            cmd list {}
            /// Shows a change.
            cmd show {
                /// The change's id.
                required change: String
            }
        }
    }
}
