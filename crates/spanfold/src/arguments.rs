//! Arguments of the command line, from which bpaf also makes the help text.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Operates a spanfold deployment by declarations kept in version control.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(command))]
pub(crate) enum Command {
    /// Check declarations; all findings are reported together. Needs no platform.
    #[bpaf(command)]
    Check {
        /// Files of declarations
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Print the digest under which a bearer key is declared
    #[bpaf(command)]
    Digest {
        /// The key
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// Print the declarations in force at the platform
    #[bpaf(command)]
    Show {
        /// Address of the key-value service
        #[bpaf(long, argument("IP:PORT"))]
        platform: SocketAddr,
    },
    /// Show what applying files would change; exit code 1 if anything
    #[bpaf(command)]
    Diff {
        /// Address of the key-value service
        #[bpaf(long, argument("IP:PORT"))]
        platform: SocketAddr,
        /// Files of declarations
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Apply files as the next generation
    #[bpaf(command)]
    Apply {
        /// Address of the key-value service
        #[bpaf(long, argument("IP:PORT"))]
        platform: SocketAddr,
        /// The generation that the change was made for; a lost race is an error
        #[bpaf(long, argument("GENERATION"), optional)]
        expect: Option<u64>,
        /// Who makes the change
        #[bpaf(long, argument("NAME"), fallback("operator".to_owned()))]
        author: String,
        /// Seconds to wait for the VMs named by --vm to have it in force
        #[bpaf(long, argument("SECONDS"), optional)]
        wait: Option<u64>,
        /// Operators' address of a VM; may be repeated
        #[bpaf(long("vm"), argument("IP:PORT"), many)]
        vms: Vec<SocketAddr>,
        /// Files of declarations
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Set labels (`key=value`) or take them away (`key-`)
    #[bpaf(command)]
    Label {
        /// Address of the key-value service
        #[bpaf(long, argument("IP:PORT"))]
        platform: SocketAddr,
        /// Who makes the change
        #[bpaf(long, argument("NAME"), fallback("operator".to_owned()))]
        author: String,
        /// `client-account`, `pool` or `endpoint`
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
        /// `key=value` or `key-`
        #[bpaf(positional("LABEL"), some("name at least one label"))]
        labels: Vec<String>,
    },
    /// Take an endpoint out of service, or back with --undo
    #[bpaf(command)]
    Drain {
        /// Address of the key-value service
        #[bpaf(long, argument("IP:PORT"))]
        platform: SocketAddr,
        /// Who makes the change
        #[bpaf(long, argument("NAME"), fallback("operator".to_owned()))]
        author: String,
        /// Give it work again
        #[bpaf(long)]
        undo: bool,
        /// The endpoint
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Show VMs, generations, endpoints and queues
    #[bpaf(command)]
    Status {
        /// Print JSON
        #[bpaf(long)]
        json: bool,
        /// Operators' addresses of VMs
        #[bpaf(positional("IP:PORT"), some("name at least one VM"))]
        vms: Vec<SocketAddr>,
    },
    /// Reports
    #[bpaf(command("report"))]
    ReportBurn {
        /// Print JSON
        #[bpaf(long)]
        json: bool,
        /// Service-level burn of each client account and objective, summed over the VMs named
        #[bpaf(external(burn_vms))]
        vms: Vec<SocketAddr>,
    },
    /// Tell the story of one request from the logs of several VMs
    #[bpaf(command)]
    Explain {
        /// The request's id
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
        /// Log files, each named after its VM
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Show what kept requests from an answer in time, by route, from the logs of several VMs
    #[bpaf(command)]
    Losses {
        /// Print JSON
        #[bpaf(long)]
        json: bool,
        /// Log files
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Requests that gateways hold back because endpoints end under them
    #[bpaf(command)]
    Held(#[bpaf(external(held_call))] HeldCall),
    /// Replay a recorded session; exit code 1 if the effects differ
    #[bpaf(command)]
    Replay {
        /// The session file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// What is done with held requests.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum HeldCall {
    /// List them
    #[bpaf(command)]
    List {
        /// Print JSON
        #[bpaf(long)]
        json: bool,
        /// Metrics addresses of VMs
        #[bpaf(positional("IP:PORT"), some("name at least one VM"))]
        vms: Vec<SocketAddr>,
    },
    /// Let one run again, at all VMs
    #[bpaf(command)]
    Lift {
        /// Metrics address of any VM
        #[bpaf(positional("IP:PORT"))]
        vm: SocketAddr,
        /// The request's digest, as `list` and the logs tell it
        #[bpaf(positional("DIGEST"))]
        digest: String,
    },
}

/// Parses the subcommand `burn IP:PORT...`.
fn burn_vms() -> impl bpaf::Parser<Vec<SocketAddr>> {
    use bpaf::Parser;
    let vms = bpaf::positional::<SocketAddr>("IP:PORT").help("Operators' addresses of VMs");
    vms.some("name at least one VM")
        .to_options()
        .descr("Service-level burn: rates over several windows, and the budget left")
        .command("burn")
}
