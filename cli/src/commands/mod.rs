//! The commands, one file each.

mod charges;
mod check;
mod demo;
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
use thiserror::Error;

/// Exit code for a wrong use of the command.
pub const EXIT_USAGE: u8 = 2;
/// Time allowed for a read of a daemon.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "run a small tier with stand-ins in this process")]
    Demo(demo::DemoFlags),
    #[options(help = "send a query to a daemon")]
    Query(query::QueryFlags),
    #[options(help = "check a catalogue file as the daemons will")]
    Check(check::CheckFlags),
    #[options(help = "print the state of daemons")]
    State(state::StateFlags),
    #[options(help = "print the effort charged per entry, over all hosts")]
    Charges(charges::ChargesFlags),
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// An argument is missing or wrong.
    #[error("{message}")]
    Usage {
        /// What is wrong.
        message: String,
        /// What to do.
        hint: String,
    },
    /// A file cannot be read.
    #[error("Reading file \"{path}\" failed")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// A daemon cannot be asked.
    #[error("Asking the daemon failed")]
    Daemon(#[source] jasmineusher_lib::http_client::HttpClientError),
    /// A query has no answer.
    #[error("Query has no answer")]
    Query(#[source] jasmineusher_lib::client::ClientError),
    /// A daemon answered something that does not parse.
    #[error("Answer of daemon {addr} does not parse")]
    Answer {
        /// The daemon.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: serde_json::Error,
    },
    /// Something else went wrong.
    #[error("Command failed")]
    Other(#[source] Box<dyn std::error::Error + Send + Sync>),
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, CommandError>;

impl Command {
    /// Runs the command and returns the exit code.
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
            Err(e) => report(&e),
        }
    }
}

fn report(error: &CommandError) -> ExitCode {
    eprintln!("jasmineusher: {}", with_sources(error));
    if let CommandError::Usage { hint, .. } = error {
        eprintln!("Hint: {hint}");
        return ExitCode::from(EXIT_USAGE);
    }
    ExitCode::FAILURE
}

fn usage(message: impl Into<String>, hint: impl Into<String>) -> CommandError {
    CommandError::Usage { message: message.into(), hint: hint.into() }
}

fn parse_addrs(texts: &[String]) -> Result<Vec<SocketAddr>> {
    let hint = "name daemons as in: --daemon 127.0.0.1:8100,127.0.0.1:8101";
    let parts = texts.iter().flat_map(|text| text.split(','));
    let parse = |text: &str| {
        text.parse().map_err(|_| usage(format!("Daemon address \"{text}\" is not IP:PORT"), hint))
    };
    let addrs: Vec<_> = parts.map(parse).collect::<Result<_>>()?;
    if addrs.is_empty() {
        return Err(usage("No daemon is named", hint));
    }
    Ok(addrs)
}

fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| CommandError::Other(Box::new(e)))?;
    Ok(runtime.block_on(future))
}

async fn get(client: &HttpClient, addr: SocketAddr, path: &str) -> Result<HttpReply> {
    client.call(HttpCall::get(addr, path, READ_LIMIT)).await.map_err(CommandError::Daemon)
}
