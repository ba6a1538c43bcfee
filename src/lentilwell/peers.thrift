/** What entry instances say to each other. Times are milliseconds; memory is counted in tokens. */

namespace py lentilwell._wire

struct Identity {
  1: required string instance
  2: required string incarnation
  3: required string data_centre
}

/** Opens a connection: who calls, at which address it listens, and a nonce of its own. */
struct Hello {
  1: required Identity sender
  2: required string address
  3: required binary nonce
}

/** Answers a hello; the proof is an HMAC over both sides of the handshake. */
struct Welcome {
  1: required Identity receiver
  2: required binary nonce
  3: required binary proof
}

/** One message of a session: its number, its body and the HMAC over both. */
struct Sealed {
  1: required i64 sequence
  2: required binary body
  3: required binary proof
}

struct EngineUse {
  1: required string engine
  2: required i32 streams
  3: required i64 memory_tokens
  4: required i64 backlog_tokens
}

/** Each of ``leaving_upstreams`` is a name and the incarnation that leaves, on two lines. */
struct Digest {
  1: required Identity sender
  2: required i64 sequence
  3: required i64 configuration
  4: required bool leaving
  5: required list<EngineUse> uses
  6: required list<string> leaving_upstreams
  7: required i32 waiting
  8: required i64 waiting_tokens
}

struct GrantAsk {
  1: required string grant_id
  2: required Identity sender
  3: required string engine
  4: required i64 memory_tokens
  5: required i64 wait_ms
}

struct GrantAnswer {
  1: required string grant_id
  2: required string engine
  3: required bool granted
  4: required i64 valid_ms
  5: required i64 retry_ms
}

struct Heartbeat {}

/** Asks for the accepted version that the receiver knows. */
struct HeadAsk {}

/** Asks for stored content by its digest, from a byte offset on. */
struct ContentAsk {
  1: required string digest
  2: required i64 offset
}

union Message {
  1: Digest digest
  2: GrantAsk ask
  3: GrantAnswer answer
  4: Heartbeat heartbeat
  5: HeadAsk head_ask
  6: ContentAsk content_ask
}

/** Part of stored content; ``size`` is the size of the whole, -1 where it is not held. */
struct Content {
  1: required i64 size
  2: required binary part
}

/**
 * Answers every message; ``configuration`` is the version in force at the receiver, ``told`` the
 * highest one that the receiver ever heard of this sender, in this or an earlier life.
 */
struct Reply {
  1: required i64 configuration
  2: optional binary head
  3: optional Content content
  4: required i64 told
}

service Exchange {
  Welcome greet(1: Hello hello)
  Sealed pass_on(1: Sealed message)
}

/** Work of a gateway at one upstream; ages and times left count from the sending. */
struct WorkItem {
  1: required string upstream
  2: required i32 age_ms
  3: required i32 read_ms
  4: required i32 memory_tokens
  5: required bool reading
  6: required bool writes
  7: required i32 due_in_ms
  8: required i32 pause_ms
  9: required double weight
  10: required bool spread
}

/** One start of an upstream; ``born_ms`` is its Unix time, 0 where it is not told. */
struct UpstreamLife {
  1: required string upstream
  2: required i64 born_ms
}

/** How many requests an upstream turned away and answered, weighed by age at the sending. */
struct RefusalTally {
  1: required string upstream
  2: required double refused
  3: required double answered
}

/**
 * The requests a second that an upstream accepts from all gateways together, as an answer told
 * ``age_ms`` before the sending; no ``rate`` where the limit has ended. With a ``rate``, an age from
 * 85,800,000 to below 86,400,000 is that of no answer: the upstream is cold for as long as is missing
 * from 86,400,000.
 */
struct UpstreamLimit {
  1: required string upstream
  2: required i64 born_ms
  3: required i64 age_ms
  4: optional double rate
}

/**
 * All the work that a gateway has in hand; ``life`` differs on each start of an instance.
 * ``configuration`` and ``listing`` are the store's versions at the last change of each that it took,
 * each of an era of the store; ``store_away`` tells that the store does not answer it.
 * ``leaving`` are upstreams that said so in their answers, ``refusals`` those that turn work away,
 * ``limits`` the rates that upstreams name.
 */
struct WorkDigest {
  1: required string instance
  2: required string life
  3: required string address
  4: required i64 sequence
  5: required list<WorkItem> items
  6: optional bool stopping = false
  7: optional i64 configuration = 0
  8: optional i64 listing = 0
  9: optional bool store_away = false
  10: optional list<UpstreamLife> leaving
  11: optional list<RefusalTally> refusals
  12: optional i64 configuration_era = 0
  13: optional i64 listing_era = 0
  14: optional list<UpstreamLimit> limits
}

/**
 * Asks an owner for permits of an upstream that names a limit, or only tells it what was heard:
 * ``patience_ms`` is how long the asker can wait for its permit, -1 where it wants none. ``role`` is
 * 1 for the primary owner and 2 for the stand-in. ``unpermitted`` counts requests already sent.
 * ``settled`` tells that the asker's list of instances has not changed lately.
 */
struct PermitAsk {
  1: required i64 number
  2: required UpstreamLimit limit
  3: required i32 role
  4: required i32 patience_ms
  5: required i32 unpermitted
  6: required bool settled
}

/**
 * Answers the ask with the same number. ``verdict`` is 1 for a permit that holds in ``wait_ms``, 2
 * where the next one would take that long, 3 where the receiver is no owner of this upstream.
 * ``limit`` is what the owner knows of the limit.
 */
struct PermitAnswer {
  1: required i64 number
  2: required i32 verdict
  3: required i32 wait_ms
  4: required UpstreamLimit limit
}

union PermitMessage {
  1: PermitAsk ask
  2: PermitAnswer answer
}

/**
 * A request that a crash cut at the beginning of its answer, the shared parts of its prompt, its
 * fingerprint, and the marks of ends of upstreams that its sender knew of when it was sent.
 */
struct CutPrompt {
  1: required string request
  2: required list<string> parts
  3: optional string fingerprint
  4: optional list<i64> known_ends
}

/** The end of one start of an upstream, ``age_ms`` before the sending. */
struct UpstreamCrash {
  1: required string upstream
  2: required i64 born_ms
  3: required i64 age_ms
  4: required list<CutPrompt> cut
}

/** A part on which the sender saw an answer beyond its beginning. */
struct SoundPart {
  1: required string part
  2: required i64 age_ms
}

/** Parts that are not sent together, by the ages of the first and the last crash that they explain. */
struct CondemnedParts {
  1: required list<string> parts
  2: required i64 first_age_ms
  3: required i64 last_age_ms
}

/** A start of an upstream that answered the sender after others took it to have ended. */
struct AliveUpstream {
  1: required string upstream
  2: required i64 born_ms
  3: required i64 age_ms
}

/** What the sender knows of crashes of upstreams. */
struct CrashNotice {
  1: required list<UpstreamCrash> crashes
  2: required list<SoundPart> sound
  3: required list<CondemnedParts> condemned
  4: required list<AliveUpstream> alive
}
