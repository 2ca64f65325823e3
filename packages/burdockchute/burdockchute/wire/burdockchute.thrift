// Messages between burdockchute's own processes. Each frame on a connection
// holds one Envelope; exactly one of its fields is set.
//
// Strings are UTF-8. Digests are lower-case hex of blake3. Durations are in
// milliseconds and never absolute times, since clocks of two instances differ.

// First message of each side on a connection.
struct Hello {
  1: string name            // instance name
  2: string role            // "entry" or "agent"
  3: string zone
  4: string region
  5: string incarnation     // new for each start of the process
  6: i64 table_offset       // highest offset applied, -1 for none
  7: i32 protocol
  8: bool fragments         // takes large messages in fragments
  9: optional bool store_queries  // answers StoreQuery
}

// Sent when nothing else has been sent for a while, by both sides.
struct Heartbeat {
  1: i64 sequence
  2: i64 table_offset
  3: i32 table_age_ms       // since the sender last knew it was up to date
}

// entry -> agent: run this request.
struct Dispatch {
  1: string request_id
  2: string attempt_id
  3: string customer
  4: string target          // row name of the model or service
  5: string digest          // weights of the model, "" for a service
  6: string adapter_digest  // "" for none
  7: bool idempotent
  8: i32 budget_ms          // time left until the caller's deadline
  9: i32 priority           // higher goes first
  10: string method         // HTTP method and path for a service
  11: string path
  12: string content_type
  13: binary body
  14: bool stream
  15: string adapter         // row name of the adapter, "" for none
}

// entry -> agent: the caller has gone or given up.
struct Cancel {
  1: string request_id
}

// agent -> entry: bytes of the answer, in order from sequence 0.
struct AnswerPart {
  1: string request_id
  2: i32 sequence
  3: binary data
}

// agent -> entry: the answer is whole, or broke after it began.
struct AnswerEnd {
  1: string request_id
  2: i32 parts              // how many parts make the whole answer
  3: i32 status             // HTTP status of the upstream
  4: string content_type
  5: string digest          // weights that made the answer, "" for a service
  6: string adapter_digest
  7: string error           // "" when whole; else why it is not
  8: bool crashed           // the upstream went away while running it
  9: i32 running            // requests that the agent still has in hand
}

// agent -> entry: this request was certainly not handed to the upstream.
struct NotRun {
  1: string request_id
  2: string reason
  3: i32 retry_after_ms
}

// One set of weights as an agent sees it.
struct WeightsState {
  1: string row             // "model/story" or "adapter/rhymes"
  2: string digest
  3: string phase           // wanted, copying, loading, open, draining
  4: i32 chunks_held
  5: i32 chunks_total
}

// A version of a model's weights and how long ago the sender learnt that it
// was named, -1 where it can't tell.
struct NamedVersion {
  1: string model
  2: i32 version
  3: i64 age_ms
}

// What an agent needs of the configuration in force.
struct AgentNeeds {
  1: i64 configuration      // version of the configuration this is from
  2: list<string> models    // models of the agent's own service
  3: i32 slots              // requests that its engine runs at once
  4: string origin          // service that gives out weights, empty for none
}

// entry -> agent: on a new link and on each change of it.
struct WishesNews {
  1: list<NamedVersion> named
  2: optional AgentNeeds needs  // unset while the entry knows none
  3: bool in_contact        // the store answers this entry
}

// entry -> agent, which hands it on to its other entries: an upstream went
// away with this request in flight. With `parts` (which may be empty) it has
// crashed as it began to run the request; with the upstream "", an answer to the
// request is complete. Entries of an earlier release leave out the fingerprint,
// and the parts are those of all requests.
struct CrashNews {
  1: string fingerprint
  2: string upstream
  3: bool alone             // it ran there by itself
  4: bool convicted         // it is refused from now on
  5: optional list<PromptPart> parts
  6: optional i32 ran_ms    // how long ago it had been sent
  7: optional i64 started_ms // Unix time of the upstream's start
  // In place of `parts`, if the answer had been arriving for a while. Earlier
  // releases ignore news without parts.
  8: optional list<PromptPart> late_parts
  9: optional bool whole    // the answer has ended, and does not only arrive
}

// A part of prompts, and where it stood in one, counted from 0.
struct PromptPart {
  1: string name
  2: i32 position
  3: optional bool answered // an answer on it was complete before the crash
}

// entry -> agent and back unchanged: what stands in the link before it.
struct LinkProbe {
  1: i64 sent_us            // by the clock of the entry
}

// entry -> agent: asks where the store's log of the desired state ends, as the
// store does not answer this entry.
struct StoreQuery {
  1: i64 sent_us            // by the clock of the entry
}

// agent -> entry: the answer to each StoreQuery.
struct StoreReport {
  1: i64 sent_us            // of the query
  2: i64 era                // by the store's count, 0 if it names none
  3: i64 end                // offset after the last record, -1 without an answer
  4: i32 age_ms             // from the read to the query, 0 if it came later
}

// entry -> agent -> its other entries: the link to an agent has become slow,
// or is no longer.
struct LinkNews {
  1: string agent
  2: bool is_slow
}

// agent -> entry: on each change, each second while busy, else each two.
struct LoadReport {
  1: string instance
  2: i32 running
  3: i32 waiting
  4: i32 slots
  5: double tokens_per_s
  6: bool leaving
  7: list<WeightsState> weights
  8: list<string> services  // service rows this instance can run
  9: list<string> prefixes  // prefixes stored since the last report, newest first
  10: i64 table_offset
  11: i64 prefill_tokens_per_s
  12: i32 entries           // entries that share this instance
  13: list<string> evicted   // prefixes evicted since then
  14: i32 closes_in_ms      // until it takes nothing new for a load, -1: none
  15: list<NamedVersion> named  // on a new link and after a naming, else none
  16: i32 opens_in_ms       // until it is likely to take requests, else unset
  17: i64 configuration     // newest version heard of, when new and on a new link
  18: double slowness       // of its engine, unset while that has its usual speed
  19: i64 memory_free       // tokens, unset while half of the memory is free
  20: list<string> unverified  // loaded digests whose loads aren't verified, else unset
  21: i64 engine_started_ms // Unix time, unset if its engine does not report it
}

struct RowRecord {
  1: string kind
  2: string name
  3: i64 revision
  4: binary document        // JSON of the row, empty when removed
}

// Id and offset of a recent record of the log.
struct SeenRecord {
  1: i64 offset
  2: string record_id
}

// entry -> agent and entry -> entry: rows changed in (from_offset,
// to_offset]; from_offset -1 carries the whole table. seen and forgotten are
// only set for a peer that will apply records of the log itself.
struct TableDelta {
  1: i64 from_offset
  2: i64 to_offset
  3: list<RowRecord> rows
  4: list<SeenRecord> seen
  5: i64 forgotten
  6: i32 age_ms             // since the sender last knew it was up to date
}

struct Member {
  1: string name
  2: string address
  3: i32 port
  4: string zone
  5: string region
  6: string pool
  7: bool leaving
}

// entry -> agent: the agents it may copy from; first all of them, then what
// changed since the message before on the same connection.
struct Members {
  1: list<Member> members
  2: i64 sequence
  3: bool changes_only
  4: list<string> gone      // names, only with changes_only
}

// agent -> agent: what a copy of these weights holds so far.
struct Have {
  1: string digest
  2: binary bitmap          // bit i set: chunk i is verified and served
  3: i32 uploads            // chunk uploads now in progress
  4: bool wants             // still copying
  5: i32 loading            // 1 while its upstream loads this digest
  6: bool open              // its gate is open for this digest
}

struct ChunkRequest {
  1: string digest
  2: i32 index
}

struct Chunk {
  1: string digest
  2: i32 index
  3: binary data
  4: string error           // "" or: unknown, busy, leaving
  5: i32 retry_after_ms
}

// entry -> entry: what a customer asked for in the last second at this entry.
struct Demand {
  1: string customer
  2: double requests_per_s
  3: double tokens_per_s
}

struct DemandReport {
  1: list<Demand> demands
}

// entry -> entry: this entry's part of the customer's limit.
struct Share {
  1: string customer
  2: double requests_per_s
  3: double tokens_per_s
}

struct ShareReport {
  1: list<Share> shares
}

// entry -> entry: ask the collector of a claim stream to claim a key.
struct ClaimRequest {
  1: string claim_id
  2: string customer
  3: string key
  4: string request_digest
  5: string attempt_id
  6: i32 expires_in_ms
  7: string act             // claim, release, finish
  8: binary outcome
}

struct ClaimReply {
  1: string claim_id
  2: string verdict         // won, lost, unavailable
  3: string holder_attempt
  4: string holder_request_digest
  5: binary outcome
  6: i32 retry_after_ms
}

// A part of an encoded Envelope, on a link that is paced. Whole messages may
// come between the fragments of one, and never fragments of another.
struct Fragment {
  1: binary data
  2: bool last
}

// The receiver of a Fragment, at once, for each.
struct FragmentTaken {
}

// A fresh entry asks its peers for the table while the log is away.
struct TableRequest {
  1: i64 known_offset
}

union Envelope {
  1: Hello hello
  2: Heartbeat heartbeat
  3: Dispatch dispatch
  4: Cancel cancel
  5: AnswerPart answer_part
  6: AnswerEnd answer_end
  7: NotRun not_run
  8: LoadReport load_report
  9: TableDelta table_delta
  10: Members members
  11: Have have
  12: ChunkRequest chunk_request
  13: Chunk chunk
  14: DemandReport demand_report
  15: ShareReport share_report
  16: ClaimRequest claim_request
  17: ClaimReply claim_reply
  18: TableRequest table_request
  19: WishesNews wishes_news
  20: CrashNews crash_news
  21: LinkProbe link_probe
  22: LinkNews link_news
  23: Fragment fragment
  24: FragmentTaken fragment_taken
  25: StoreQuery store_query
  26: StoreReport store_report
}
