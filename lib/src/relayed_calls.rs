//! Table of the leaf calls that this process runs for other hosts.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use crate::call_context::CallControl;
use crate::leaf_protocol::CallId;

/// Running calls of other hosts, with the controls that cancel them.
#[derive(Debug, Default)]
pub struct RelayedCalls {
    pub(crate) controls: Mutex<HashMap<CallId, Arc<CallControl>>>,
}

impl RelayedCalls {
    /// Returns the number of running calls.
    pub fn len(&self) -> usize {
        self.controls.lock().unwrap().len()
    }

    /// Returns whether no call is running.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Cancels those of `calls` that are still running.
    pub(crate) fn cancel(&self, calls: &[CallId]) {
        let controls = self.controls.lock().unwrap();
        for call in calls {
            controls.get(call).map(|control| control.cancel());
        }
    }
}
