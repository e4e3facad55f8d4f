//! Formats errors for logs and error messages.

/// Returns the message of an error followed by those of its sources, separated by colons.
pub fn with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
