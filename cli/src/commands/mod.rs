//! The subcommands of `jasmineusher`, one module each.

mod charges;
mod check;
mod check_configuration;
mod demo;
mod published;
mod query;
mod state;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use jasmineusher_lib::error_text::with_sources;
use jasmineusher_lib::http_client::HttpCall;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::http_client::HttpReply;
use jasmineusher_lib::platform_store::Unusable;
use thiserror::Error;

/// Exit code for missing or wrong arguments.
pub const EXIT_USAGE: u8 = 2;
/// Timeout of one read request to a daemon.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The subcommand on the command line, with its flags.
#[derive(Debug, Options)]
pub enum Command {
    #[options(
        help = "run a small tier in this process, with stand-ins for the leafs and the platform"
    )]
    Demo(demo::DemoFlags),
    #[options(help = "send a query to a daemon")]
    Query(query::QueryFlags),
    #[options(help = "check catalogues and configurations by the rules of the daemons")]
    Check(check::CheckFlags),
    #[options(help = "print the state of daemons")]
    State(state::StateFlags),
    #[options(help = "print the effort charged per entry, over all hosts")]
    Charges(charges::ChargesFlags),
}

/// Reason why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// An argument is missing or wrong.
    #[error("{message}")]
    Usage {
        /// Sentence that describes the fault.
        message: String,
        /// Example of a correct use, printed on a separate line.
        hint: String,
    },
    /// A file cannot be read.
    #[error("Reading file \"{path}\" failed")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// A request to a daemon failed.
    #[error("Request to the daemon failed")]
    Daemon(#[source] jasmineusher_lib::http_client::HttpClientError),
    /// No daemon answered a query.
    #[error("Query got no answer")]
    Query(#[source] jasmineusher_lib::client::ClientError),
    /// The response body of a daemon is not the expected JSON.
    #[error("Response of daemon {addr} cannot be parsed")]
    Answer {
        /// Address of the daemon.
        addr: SocketAddr,
        /// Error of the JSON parser.
        #[source]
        source: serde_json::Error,
    },
    /// No part of a configuration can be decoded.
    #[error("Configuration of {name} cannot be decoded")]
    Configuration {
        /// Where the configuration comes from: a file or the store.
        name: String,
        /// Description of the fault, with its place.
        #[source]
        source: Unusable,
    },
    /// A step of the command failed for another reason, which is the source of this error.
    #[error("Command failed")]
    Other(#[source] Box<dyn std::error::Error + Send + Sync>),
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, CommandError>;

impl Command {
    /// Runs the command and returns the exit code of the process. An error is printed to standard
    /// error.
    pub fn run(self) -> ExitCode {
        let result = match self {
            Self::Demo(flags) => demo::run(flags),
            Self::Query(flags) => query::run(flags),
            Self::Check(flags) => check::run(flags),
            Self::State(flags) => state::run(flags),
            Self::Charges(flags) => charges::run(flags),
        };
        match result {
            Ok(code) => code,
            Err(e) => print_error(&e),
        }
    }
}

fn print_error(error: &CommandError) -> ExitCode {
    eprintln!("jasmineusher: {}", with_sources(error));
    if let CommandError::Usage { hint, .. } = error {
        eprintln!("Hint: {hint}");
        return ExitCode::from(EXIT_USAGE);
    }
    ExitCode::FAILURE
}

fn usage_error(message: impl Into<String>, hint: impl Into<String>) -> CommandError {
    CommandError::Usage { message: message.into(), hint: hint.into() }
}

fn parse_addrs(texts: &[String]) -> Result<Vec<SocketAddr>> {
    let hint = "list daemons as in: --daemon 127.0.0.1:8100,127.0.0.1:8101";
    let parts = texts.iter().flat_map(|text| text.split(','));
    let parse = |text: &str| {
        text.parse()
            .map_err(|_| usage_error(format!("Daemon address \"{text}\" is not IP:PORT"), hint))
    };
    let addrs: Vec<_> = parts.map(parse).collect::<Result<_>>()?;
    if addrs.is_empty() {
        return Err(usage_error("No --daemon is given", hint));
    }
    Ok(addrs)
}

fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| CommandError::Other(Box::new(e)))?;
    Ok(runtime.block_on(future))
}

async fn get(client: &HttpClient, addr: SocketAddr, path: &str) -> Result<HttpReply> {
    client.call(HttpCall::get(addr, path, READ_TIMEOUT)).await.map_err(CommandError::Daemon)
}
