//! Real daemons that serve opaque requests on stand-ins of the users' platform.

mod edge_bed;
mod serving;
mod soak;
