//! `jasmineusher`: the command line for callers and operators of the tier.

mod commands;

use std::process::ExitCode;

use gumdrop::Options;

use crate::commands::Command;

/// Query tier over many search shards: a demo, queries, and tools for operators.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    match flags.command {
        Some(command) => command.run(),
        None => {
            eprintln!("Usage: jasmineusher COMMAND [OPTIONS]\n\n{}", Flags::usage());
            eprintln!("\nCommands:\n{}", Flags::command_list().unwrap_or_default());
            ExitCode::from(commands::EXIT_USAGE)
        }
    }
}
