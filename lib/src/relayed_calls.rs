//! Leaf calls that this process runs for other hosts, by which they are cancelled.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use crate::call_context::CallControl;
use crate::leaf_protocol::CallId;

/// The calls that this host runs for others, by which they are cancelled.
#[derive(Debug, Default)]
pub struct RelayedCalls {
    pub(crate) controls: Mutex<HashMap<CallId, Arc<CallControl>>>,
}

impl RelayedCalls {
    /// Returns the number of calls in progress.
    pub fn len(&self) -> usize {
        self.controls.lock().unwrap().len()
    }

    /// Whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn cancel(&self, calls: &[CallId]) {
        let controls = self.controls.lock().unwrap();
        for call in calls {
            controls.get(call).map(|control| control.cancel());
        }
    }
}
