//! Command line of the operators' command.

use std::path::PathBuf;

xflags::xflags! {
    /// Queries a router of the fleet and changes the fleet's configuration.
    cmd scaleford {
        /// IP:PORT at which any router accepts operators; defaults to the value of SCALEFORD_OPERATOR.
        optional --operator operator: String
        /// Token of the operator; defaults to the value of SCALEFORD_TOKEN.
        optional --token token: String
        /// Prints the response as JSON.
        optional --json

        /// Shows the fleet as the router sees it.
        cmd status {}
        /// Shows the decisions about a request and their reasons.
        cmd explain {
            /// Id of the request: the caller's own, or the response's x-scaleford-request header.
            required request: String
            /// Log file of a router, read instead of querying the fleet.
            repeated --log file: PathBuf
        }
        /// Checks a whole configuration without a fleet, and reports all errors at once.
        cmd check-config {
            /// A JSON file, or - for standard input.
            required file: String
        }
        /// Shows the configuration in force.
        cmd config {}
        /// Plans, confirms and shows changes of the configuration.
        cmd intent {
            /// Prints the effects of an intent without applying it.
            cmd plan {
                /// A JSON file, or - for standard input.
                required file: String
            }
            /// Applies a plan.
            cmd confirm {
                /// JSON file with the plan, or - for standard input.
                required plan: String
            }
            /// Lists the recent changes.
            cmd list {}
            /// Shows a change.
            cmd show {
                /// Id of the change.
                required change: String
            }
        }
    }
}
