//! Stand-ins and checks of the review's scripts: the platform's store, leafs and clients, and real
//! daemon processes on loopback addresses. Standard library only.
//!
//! Usage: standins CASE FOLDER, with TROUBLE=0 in the environment for a run without the disruption.
//! Writes FOLDER/record.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod bed;
mod cases;
mod client;
mod http;
mod leaf;
mod record;
mod store;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 3 {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(&args[2]);
    // A case that hangs ends here, with its daemons.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(115));
        bed::end_all_daemons();
        eprintln!("the case took more than 115 s");
        exit(2);
    });
    let verdict = std::panic::catch_unwind(|| cases::run(&args[1], &folder, trouble));
    bed::end_all_daemons();
    match verdict {
        Ok(Ok(true)) => exit(1),
        Ok(Ok(false)) => exit(0),
        Ok(Err(message)) => {
            eprintln!("the case could not run: {message}");
            exit(2);
        }
        Err(_) => exit(2),
    }
}
