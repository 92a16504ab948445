/* The protocol between the fleet's own processes.
 * Frames travel on a TCP connection, each behind a four-byte length.
 * Datagrams travel one to a UDP packet.
 * Regenerate with `thrift --gen rs -out src/peer thrift/wire.thrift`. */
namespace rs peer_protocol

struct WireHeader { 1: required string name; 2: required binary value }

/* First frame of each side. */
struct Hello { 1: required i32 version; 2: required string vm; 3: required i64 incarnation }

/* Asks the home of a target to admit a request and to relay it. */
struct Open {
  1: required i64 stream; 2: required string request; 3: required i32 attempt;
  4: required string target; 5: required string method; 6: required string path;
  7: required list<WireHeader> headers; 8: required binary body;
  9: required i64 remaining_ms; 10: required i32 priority; 11: required i64 cost_tokens;
  12: required i64 conversation; 13: required i8 wait; 14: required bool anchor
}
/* Tells the home of a conversation's first choice where the conversation went. */
struct Placed { 1: required i64 conversation; 2: required string first; 3: required string target }
struct Head { 1: required i64 stream; 2: required i32 status; 3: required list<WireHeader> headers }
struct Data { 1: required i64 stream; 2: required binary bytes }
struct End { 1: required i64 stream; 2: required i32 code }
/* The request was not admitted, or ended before an answer's head. */
struct Refuse { 1: required i64 stream; 2: required i32 code; 3: required i64 retry_after_ms; 4: required list<string> redirect; 5: required string detail }
struct Cancel { 1: required i64 stream }
struct Credit { 1: required i64 stream; 2: required i32 bytes }

/* Accepted configuration: what the sender lacks after `revision`. */
struct ConfigPull { 1: required i64 call; 2: required i64 revision; 3: required binary digest }
struct ConfigChanges { 1: required i64 call; 2: required list<binary> changes }
struct ConfigSnapshot { 1: required i64 call; 2: required binary body }

/* At-most-once keys, asked of the router that keeps the key's shard. */
struct ClaimAsk { 1: required i64 call; 2: required binary key; 3: required string request; 4: required i32 step; 5: required i32 outcome }
struct ClaimAnswer { 1: required i64 call; 2: required i32 verdict; 3: required i32 outcome }

/* The decisions on a request that a router remembers, as JSON. */
struct ExplainAsk { 1: required i64 call; 2: required string request }
struct ExplainAnswer { 1: required i64 call; 2: required binary body }

union Frame {
  1: Hello hello; 2: Open open; 3: Head head; 4: Data data; 5: End done; 6: Refuse refuse;
  7: Cancel cancel; 8: Credit credit; 9: ConfigPull config_pull; 10: ConfigChanges config_changes;
  11: ConfigSnapshot config_snapshot; 12: ClaimAsk claim_ask; 13: ClaimAnswer claim_answer; 14: Placed placed;
  15: ExplainAsk explain_ask; 16: ExplainAnswer explain_answer
}

/* What a router believes of another, as it travels between them. */
struct MemberNews { 1: required string vm; 2: required i64 incarnation; 3: required i8 state }
struct Heartbeat { 1: required string vm; 2: required i64 incarnation; 3: required i64 sequence; 4: required i64 config_revision; 5: required bool draining; 6: required list<MemberNews> news }
struct ProbeAsk { 1: required string vm; 2: required string subject }
struct ProbeAnswer { 1: required string vm; 2: required string subject; 3: required i64 incarnation }
/* One home's sum over its targets of one pool. */
struct PoolLoad { 1: required i64 pool; 2: required i64 tokens; 3: required i64 doubtful; 4: optional string least; 5: optional i64 least_tokens }
/* With `ask`, the receiver reports back at once. */
struct LoadReport { 1: required string vm; 2: required list<PoolLoad> pools; 3: required bool ask }
/* Demand for and grants of an account's rate, in thousandths of a request a second. */
struct ShareAsk { 1: required string vm; 2: required string account; 3: required i64 demand; 4: required i32 in_flight; 5: required i64 held_rate; 6: required i32 held_concurrency }
struct ShareGrant { 1: required string vm; 2: required string account; 3: required i64 share; 4: required i32 concurrency; 5: required i32 valid_ms }

union Datagram {
  1: Heartbeat heartbeat; 2: Heartbeat ack; 3: ProbeAsk probe_ask; 4: ProbeAnswer probe_answer;
  5: LoadReport load; 6: ShareAsk share_ask; 7: ShareGrant share_grant
}
