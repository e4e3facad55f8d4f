//! Names and small keys that identify hosts, leafs, entries, shards and queries.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Largest length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Reasons for which a text is not a valid identifier.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IdError {
    /// The name is empty or longer than [`MAX_NAME_BYTES`].
    #[error("Name \"{0}\" must have 1 to {MAX_NAME_BYTES} bytes")]
    Length(String),
    /// The name has a character other than `a-z`, `0-9`, `-`, `_` and `.`.
    #[error("Name \"{0}\" may have only a-z, 0-9, '-', '_' and '.'")]
    Character(String),
    /// The text is not a query id, two hexadecimal numbers joined by `-`.
    #[error("Query id \"{0}\" must be two hexadecimal numbers joined by '-'")]
    QueryId(String),
}

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, IdError>;

fn check_name(text: &str) -> Result<()> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(IdError::Length(text.to_owned()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if !text.chars().all(allowed) {
        return Err(IdError::Character(text.to_owned()));
    }
    Ok(())
}

/// Returns a name published by the platform unchanged if it is valid or empty, and otherwise a name
/// made from its hash, so that a host, zone or entry is not lost because of a character in its
/// name. Different names stay different, except for collisions of the 64-bit hash.
pub fn sanitized_name(published: &str) -> Cow<'_, str> {
    match check_name(published) {
        _ if published.is_empty() => Cow::Borrowed(published),
        Ok(()) => Cow::Borrowed(published),
        Err(_) => Cow::Owned(format!("x{:016x}", xxh3_64(published.as_bytes()))),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = IdError;

            fn try_from(text: &str) -> Result<Self> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                Self::try_from(text)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a catalogue entry, by which callers refer to it.
    EntryName
);
name_type!(
    /// Name of an organisation that owns catalogue entries and is charged for their calls.
    Owner
);
name_type!(
    /// Name of a search index.
    IndexName
);
name_type!(
    /// Name of a host that runs a daemon of the query tier.
    HostName
);
name_type!(
    /// Name of a leaf: one search process on a backend server.
    LeafName
);
name_type!(
    /// Name of an availability zone.
    Zone
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_type!(
    /// Index of a leaf in this process's leaf registry. Stays valid for the life of the process.
    LeafKey(u32)
);
number_type!(
    /// Hash of a leaf's name, which identifies the leaf between hosts in few bytes.
    LeafHash(u64)
);
number_type!(
    /// Index of a group of replicas, leafs that hold the same data, in this process's registry of
    /// groups.
    GroupKey(u32)
);
number_type!(
    /// Hash of the name of a group of replicas, which identifies the group between hosts in few
    /// bytes.
    GroupHash(u64)
);
number_type!(
    /// Number of a shard within one version of an index.
    ShardNo(u16)
);
number_type!(
    /// Number of an index version. Shard numbers are meaningful only within one version.
    IndexVersion(u64)
);
number_type!(
    /// Revision of a value published by the platform. Higher is newer.
    Revision(u64)
);
number_type!(
    /// How often the platform has come back from an older copy of its data. Revisions are given out
    /// again in each era.
    Era(u64)
);
number_type!(
    /// Number of a leaf call within its query; never reused in the same query.
    Attempt(u32)
);
number_type!(
    /// Random number that identifies a process, to distinguish it from those that ran on the same
    /// host before a restart.
    Incarnation(u64)
);

/// Place in the sequence of the platform's changes.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Era of the platform.
    pub era: Era,
    /// Revision within the era; 0 before the first change.
    pub revision: Revision,
}

impl LeafHash {
    /// Computes the hash of a leaf's name.
    pub fn of(name: &LeafName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()))
    }
}

impl GroupHash {
    /// Computes the hash of a group's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Identifier of a query, unique over all hosts and their incarnations.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct QueryId {
    /// Incarnation of the process that coordinates the query.
    pub incarnation: Incarnation,
    /// Sequence number of the query within that incarnation.
    pub number: u64,
}

impl fmt::Display for QueryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.incarnation.0, self.number)
    }
}

impl FromStr for QueryId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let error = || IdError::QueryId(text.to_owned());
        let (incarnation, number) = text.split_once('-').ok_or_else(error)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| error())?;
        let number = u64::from_str_radix(number, 16).map_err(|_| error())?;
        Ok(Self { incarnation: Incarnation(incarnation), number })
    }
}
