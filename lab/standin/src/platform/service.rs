//! The methods of the API on top of the store, independent of HTTP.

use super::error::ApiError;
use super::message::{
    CompactionRequest, Compare, CompareResult, CompareTarget, DeleteRangeRequest,
    DeleteRangeResponse, Header, HeaderResponse, KeyValue, LeaseGrantRequest, LeaseRequest,
    LeaseResponse, LeaseTimeToLiveRequest, LeaseTimeToLiveResponse, PutRequest, PutResponse,
    RangeRequest, RangeResponse, RequestOperation, ResponseOperation, StreamResult, TxnRequest,
    TxnResponse,
};
use super::range::KeyRange;
use super::store::{Put, Store};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Instant;

/// Maximum number of operations in one transaction.
const MAX_TXN_OPERATIONS: usize = 128;

/// Context of one API call: the store and the revision visible to the caller.
pub(super) struct Call<'a> {
    /// Store, locked for the duration of the call.
    pub store: &'a mut Store,
    /// Newest revision that reads may return.
    pub visible: i64,
    /// Response header without its revision.
    pub header: Header,
    /// Time of the call, used for lease deadlines.
    pub now: Instant,
}

/// A response, and whether its request changed anything.
pub(super) struct Outcome<T> {
    /// Response to the caller.
    pub response: T,
    /// Whether the store or its leases changed.
    pub changed: bool,
}

type Result<T> = std::result::Result<Outcome<T>, ApiError>;

fn read<T>(response: T) -> Result<T> {
    let changed = false;
    Ok(Outcome { response, changed })
}

fn written<T>(response: T) -> Result<T> {
    let changed = true;
    Ok(Outcome { response, changed })
}

impl Call<'_> {
    fn header_at(&self, revision: i64) -> Header {
        Header {
            revision,
            ..self.header.clone()
        }
    }

    fn newest_header(&self) -> Header {
        self.header_at(self.store.revision())
    }

    /// Handles `/v3/kv/range`.
    pub(super) fn range(&mut self, request: RangeRequest) -> Result<RangeResponse> {
        let header = self.header_at(self.visible);
        let response = read_range(self.store, &request, self.visible, header)?;
        read(response)
    }

    /// Handles `/v3/kv/put`.
    pub(super) fn put(&mut self, request: PutRequest) -> Result<PutResponse> {
        let wants_previous = request.prev_kv;
        let put = to_put(request);
        self.store.check_put(&put)?;
        let previous = self.store.put(put);
        self.store.commit();
        written(PutResponse {
            header: self.newest_header(),
            prev_kv: previous.filter(|_| wants_previous),
        })
    }

    /// Handles `/v3/kv/deleterange`.
    pub(super) fn delete_range(
        &mut self,
        request: DeleteRangeRequest,
    ) -> Result<DeleteRangeResponse> {
        let range = KeyRange::parse(&request.key, &request.range_end)?;
        let deleted = self.store.delete(&range);
        self.store.commit();
        let changed = !deleted.is_empty();
        let response = delete_range_response(self.newest_header(), deleted, request.prev_kv);
        Ok(Outcome { response, changed })
    }

    /// Handles `/v3/kv/txn`.
    pub(super) fn txn(&mut self, request: TxnRequest) -> Result<TxnResponse> {
        check_operations(self.store, &request.success)?;
        check_operations(self.store, &request.failure)?;
        let mut succeeded = true;
        for compare in &request.compare {
            succeeded &= compare_holds(self.store, compare)?;
        }
        let operations = match succeeded {
            true => request.success,
            false => request.failure,
        };
        let before = self.store.revision();
        let mut responses = self.execute_operations(operations)?;
        let after = self.store.commit();
        for response in &mut responses {
            set_revision(response, after);
        }
        let response = TxnResponse {
            header: self.newest_header(),
            succeeded,
            responses,
        };
        let changed = after > before;
        Ok(Outcome { response, changed })
    }

    fn execute_operations(
        &mut self,
        operations: Vec<RequestOperation>,
    ) -> std::result::Result<Vec<ResponseOperation>, ApiError> {
        let mut responses = Vec::with_capacity(operations.len());
        for operation in operations {
            responses.push(self.execute_operation(operation)?);
        }
        Ok(responses)
    }

    fn execute_operation(
        &mut self,
        operation: RequestOperation,
    ) -> std::result::Result<ResponseOperation, ApiError> {
        Ok(match operation {
            RequestOperation::Range(request) => {
                // Reads see the writes before them in the same transaction.
                let newest = self.store.revision() + 1;
                let header = Header::default();
                ResponseOperation::Range(read_range(self.store, &request, newest, header)?)
            }
            RequestOperation::Put(request) => {
                let wants_previous = request.prev_kv;
                let previous = self.store.put(to_put(request));
                ResponseOperation::Put(PutResponse {
                    header: Header::default(),
                    prev_kv: previous.filter(|_| wants_previous),
                })
            }
            RequestOperation::DeleteRange(request) => {
                let range = KeyRange::parse(&request.key, &request.range_end)?;
                let deleted = self.store.delete(&range);
                let response = delete_range_response(Header::default(), deleted, request.prev_kv);
                ResponseOperation::DeleteRange(response)
            }
        })
    }

    /// Handles `/v3/kv/compaction`.
    pub(super) fn compact(&mut self, request: CompactionRequest) -> Result<HeaderResponse> {
        self.store.compact(request.revision)?;
        let header = self.newest_header();
        written(HeaderResponse { header })
    }

    /// Handles `/v3/lease/grant`.
    pub(super) fn grant_lease(&mut self, request: LeaseGrantRequest) -> Result<LeaseResponse> {
        let (id, ttl) = self.store.grant_lease(request.id, request.ttl, self.now)?;
        let header = self.newest_header();
        written(LeaseResponse { header, id, ttl })
    }

    /// Handles `/v3/lease/keepalive`.
    pub(super) fn keep_lease_alive(
        &mut self,
        request: LeaseRequest,
    ) -> Result<StreamResult<LeaseResponse>> {
        let ttl = self.store.keep_lease_alive(request.id, self.now);
        let result = LeaseResponse {
            header: self.newest_header(),
            id: request.id,
            ttl: ttl.unwrap_or(0),
        };
        read(StreamResult { result })
    }

    /// Handles `/v3/lease/revoke`.
    pub(super) fn revoke_lease(&mut self, request: LeaseRequest) -> Result<HeaderResponse> {
        self.store.end_lease(request.id)?;
        let header = self.newest_header();
        written(HeaderResponse { header })
    }

    /// Handles `/v3/lease/timetolive`.
    pub(super) fn lease_time_to_live(
        &mut self,
        request: LeaseTimeToLiveRequest,
    ) -> Result<LeaseTimeToLiveResponse> {
        let mut response = LeaseTimeToLiveResponse {
            header: self.newest_header(),
            id: request.id,
            ttl: -1,
            ..LeaseTimeToLiveResponse::default()
        };
        if let Some(state) = self.store.lease_state(request.id, self.now) {
            response.ttl = state.remaining_seconds;
            response.granted_ttl = state.granted_ttl_seconds;
            response.keys = if request.keys { state.keys } else { Vec::new() };
        }
        read(response)
    }
}

fn to_put(request: PutRequest) -> Put {
    Put {
        key: request.key,
        value: (!request.ignore_value).then_some(request.value),
        lease: (!request.ignore_lease).then_some(request.lease),
    }
}

fn read_range(
    store: &Store,
    request: &RangeRequest,
    visible: i64,
    header: Header,
) -> std::result::Result<RangeResponse, ApiError> {
    let range = KeyRange::parse(&request.key, &request.range_end)?;
    let revision = match request.revision {
        requested if requested > 0 => requested,
        _ => visible,
    };
    store.check_revision(revision, visible)?;
    let limit = usize::try_from(request.limit).unwrap_or(0);
    let mut page = store.range(&range, revision, limit);
    if request.count_only {
        page.items.clear();
    }
    if request.keys_only {
        page.items.iter_mut().for_each(|item| item.value.clear());
    }
    Ok(RangeResponse {
        header,
        more: limit > 0 && page.count > limit,
        count: to_int64(page.count),
        kvs: page.items,
    })
}

fn delete_range_response(
    header: Header,
    deleted: Vec<KeyValue>,
    wants_previous: bool,
) -> DeleteRangeResponse {
    DeleteRangeResponse {
        header,
        deleted: to_int64(deleted.len()),
        prev_kvs: if wants_previous { deleted } else { Vec::new() },
    }
}

fn to_int64(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn set_revision(response: &mut ResponseOperation, revision: i64) {
    let header = match response {
        ResponseOperation::Range(inner) => &mut inner.header,
        ResponseOperation::Put(inner) => &mut inner.header,
        ResponseOperation::DeleteRange(inner) => &mut inner.header,
    };
    header.revision = revision;
}

/// Checks everything that can fail, so that a transaction is applied completely
/// or not at all.
fn check_operations(
    store: &Store,
    operations: &[RequestOperation],
) -> std::result::Result<(), ApiError> {
    if operations.len() > MAX_TXN_OPERATIONS {
        return Err(ApiError::TooManyOperations);
    }
    let mut written: BTreeSet<&[u8]> = BTreeSet::new();
    let mut deleted: Vec<KeyRange> = Vec::new();
    for operation in operations {
        match operation {
            RequestOperation::Range(request) => {
                KeyRange::parse(&request.key, &request.range_end)?;
                if request.revision > 0 {
                    store.check_revision(request.revision, store.revision())?;
                }
            }
            RequestOperation::Put(request) => {
                store.check_put(&to_put(request.clone()))?;
                if !written.insert(&request.key) {
                    return Err(ApiError::DuplicateKey);
                }
            }
            RequestOperation::DeleteRange(request) => {
                deleted.push(KeyRange::parse(&request.key, &request.range_end)?);
            }
        }
    }
    let overlaps = |key: &&[u8]| deleted.iter().any(|range| range.contains(key));
    match written.iter().any(overlaps) {
        true => Err(ApiError::DuplicateKey),
        false => Ok(()),
    }
}

fn compare_holds(store: &Store, compare: &Compare) -> std::result::Result<bool, ApiError> {
    let range = KeyRange::parse(&compare.key, &compare.range_end)?;
    let page = store.range(&range, store.revision(), 0);
    if page.items.is_empty() {
        // A key that does not exist has no value to compare; its version,
        // revisions and lease are 0.
        let comparable = compare.target != CompareTarget::Value;
        return Ok(comparable && item_satisfies(&KeyValue::default(), compare));
    }
    Ok(page.items.iter().all(|item| item_satisfies(item, compare)))
}

fn item_satisfies(item: &KeyValue, compare: &Compare) -> bool {
    let order = match compare.target {
        CompareTarget::Version => item.version.cmp(&compare.version),
        CompareTarget::Create => item.create_revision.cmp(&compare.create_revision),
        CompareTarget::Mod => item.mod_revision.cmp(&compare.mod_revision),
        CompareTarget::Value => item.value.cmp(&compare.value),
        CompareTarget::Lease => item.lease.cmp(&compare.lease),
    };
    match compare.result {
        CompareResult::Equal => order == Ordering::Equal,
        CompareResult::Greater => order == Ordering::Greater,
        CompareResult::Less => order == Ordering::Less,
        CompareResult::NotEqual => order != Ordering::Equal,
    }
}
