/*
 * Messages between the processes of one deployment, and the records of the log.
 * Generate with: thrift --gen java:generated_annotations=suppress,private-members -out wire/src/main/java wire/src/main/thrift/quetzalshunt.thrift
 *
 * Compatibility: the number of a field is never changed or reused, new fields are optional,
 * and a reader ignores unknown members of a union.
 */
namespace java org.quetzalshunt.wire.generated

/** First frame in each direction. The proof is HMAC-SHA256 over the other side's challenge and the fields below. */
struct Hello {
  1: i32 protocolVersion
  2: string vm
  3: i64 incarnation
  4: string role
  5: string dataCentre
  6: binary challenge
}

struct HelloProof {
  1: binary proof
}

/** A client request, forwarded to the entry that owns the program's shard. Never contains an API key. */
struct ForwardRequest {
  1: i64 exchange
  2: string requestId
  3: string clientAccount
  4: string method
  5: string path
  6: map<string, string> headers
  7: binary body
  8: i64 remainingMillis
  9: i32 hops
}

struct ForwardHead {
  1: i64 exchange
  2: i32 status
  3: map<string, string> headers
}

struct ForwardChunk {
  1: i64 exchange
  2: i32 sequence
  3: binary data
}

struct ForwardEnd {
  1: i64 exchange
  2: i32 chunks
  3: bool whole
}

struct ForwardCancel {
  1: i64 exchange
}

/** Orders a sidecar to run one attempt of a request; the attempt id makes the order idempotent. */
struct AttemptStart {
  1: i64 attempt
  2: i32 shard
  3: i64 epoch
  4: string program
  5: string clientAccount
  6: string serviceName
  7: string requestId
  8: string method
  9: string path
  10: map<string, string> headers
  11: binary body
  12: i32 priority
  13: i64 remainingMillis
  14: i64 stallMillis
  15: bool repeatable
  16: bool stream
  17: i64 cacheLeaseMillis
}

struct AttemptCancel {
  1: i64 attempt
}

/** Requests the frames of an attempt from a sequence number on, after the connection was lost. */
struct AttemptResume {
  1: i64 attempt
  2: i32 fromSequence
}

struct AttemptHead {
  1: i64 attempt
  2: i32 status
  3: map<string, string> headers
}

struct AttemptChunk {
  1: i64 attempt
  2: i32 sequence
  3: binary data
}

struct Usage {
  1: i64 promptTokens
  2: i64 cachedTokens
  3: i64 completionTokens
}

/** Last frame of an attempt. The number of chunks allows the receiver to detect a truncated answer. */
struct AttemptEnd {
  1: i64 attempt
  2: i32 resultCode
  3: i32 execution
  4: i32 chunks
  5: optional Usage usage
  6: optional string finishReason
}

struct CacheRelease {
  1: i32 shard
  2: i64 epoch
  3: string program
}

struct CacheRenew {
  1: i32 shard
  2: i64 epoch
  3: list<string> programs
  4: i64 leaseMillis
}

struct EndpointReport {
  1: string endpoint
  2: i64 incarnation
  3: string serviceName
  4: i32 running
  5: i32 waiting
  6: i32 slots
  7: i64 cachedTokens
  8: i64 cacheCapacityTokens
  9: i64 tokensPerSecond
  10: bool leaving
  11: bool healthy
  12: i64 heldPrograms
  13: i64 freedPrograms
  14: optional i64 configurationNext
}

/** The state of a VM as last reported by that VM itself, relayed in the heartbeat of another VM. */
struct HeartbeatWord {
  1: string vm
  2: i64 incarnation
  3: i64 beat
  4: i64 configurationNext
  5: i64 configurationAgeMillis
  6: bool leaving
  7: list<i32> ownedShards
}

struct Heartbeat {
  1: string vm
  2: i64 incarnation
  3: i64 configurationNext
  4: i64 configurationAgeMillis
  5: bool leaving
  6: list<i32> ownedShards
  7: i64 sentMillis
  8: optional i64 echoedSentMillis
  9: optional i64 beat
  10: optional list<HeartbeatWord> digest
}

struct LimitRequest {
  1: string clientAccount
  2: i64 generation
  3: i64 transfer
  4: i64 wantedMicroTokens
  5: i64 incarnation
  6: optional string serviceName
  7: optional string asker
  8: optional i64 heldParts
  9: optional i64 demandMilliTokens
  10: optional bool passedOn
}

struct LimitTransfer {
  1: string clientAccount
  2: i64 generation
  3: i64 transfer
  4: i64 microTokens
  5: i64 ratePartsPerMillion
  6: i64 incarnation
  7: optional i64 answeredIncarnation
  8: optional string serviceName
  9: optional i64 settledBelow
}

struct LimitAcknowledgement {
  1: string clientAccount
  2: i64 generation
  3: i64 transfer
  4: i64 incarnation
}

struct LimitHolding {
  1: string serviceName
  2: string clientAccount
  3: i64 partsPerMillion
}

/** The parts that a member carried over into a generation, reported to the home of their accounts. */
struct LimitCarryReport {
  1: i64 generation
  2: list<LimitHolding> holdings
}

struct LimitCarryAcknowledgement {
  1: i64 generation
}

/** Asks the receiver to confirm that it knows no newer generation. */
struct LimitLeaseRequest {
  1: i64 generation
  2: i64 sentMillis
}

struct LimitLeaseWord {
  1: i64 generation
  2: i64 sentMillis
}

/** Extension point: a message with a payload that is encoded by a subsystem. */
struct Opaque {
  1: string kind
  2: binary payload
}

/** Requests a token of a client account's rate limit, of which the receiver holds a share. */
struct TokenRequest {
  1: i64 id
  2: string account
  3: i64 mostWaitMillis
  /** Program that the request belongs to; absent outside programs. */
  4: optional string program
  /** Kind of the program that the request starts; absent if it does not start one. */
  5: optional string startedKind
  /** Urgency of the program that the request starts, 0 being the most urgent. */
  6: optional i32 urgency
}

/** Answer to a TokenRequest: the time that the request must wait before it runs, negative if no token is granted. */
struct TokenAnswer {
  1: i64 id
  2: i64 waitMillis
  3: optional i64 shortestMillis
  /** Set if the request may not start a program now: the time until the quota is expected to cover a program. */
  4: optional i64 startAfterMillis
}

/** A part of a prompt that an endpoint has processed for the sender and may have in its prefix cache. */
struct PromptPlaced {
  1: string endpoint
  2: string part
  3: i64 tokens
}

/** Speed of an endpoint as measured by the sender. */
struct EndpointPace {
  /** Time per generated token, in milliseconds; 0 if unknown. */
  1: double millisPerToken
  /** Prompt tokens prefilled per millisecond; 0 if unknown. */
  2: double prefillTokensPerMilli
  /** Time of a request without a prompt, relative to the other endpoints of its service; 0 if unknown. */
  3: double relativeTime
  /** Number of measurements, up to a limit. */
  4: i32 samples
}

/**
 * Number of running requests of the sender at each endpoint, without the endpoints that run none. The proof age is the
 * age of the sender's last proof that its configuration is current.
 */
struct EndpointLoads {
  1: map<string, i32> running
  2: i64 proofAgeMillis
  3: optional map<string, double> failing
  4: optional list<PromptPlaced> placed
  /** Prompt tokens in requests of the sender that each endpoint has not processed yet. */
  5: optional map<string, i64> unread
  /** Speeds of endpoints that the sender has measured since its last message. */
  6: optional map<string, EndpointPace> paces
  /** Slots that the sender's requests use, by service and client account; only while a service is short of slots. */
  7: optional map<string, map<string, double>> accountUse
  /** Requests that wait at the sender for a free slot, by service; services without any are left out. */
  8: optional map<string, i32> waiting
}

/** Registers the sender at a turn's directory VM as the holder of the turn and of all turns before it. */
struct TurnLocation {
  1: string turn
}

/**
 * Requests a turn with all turns before it, and the unused rest of the holder's allotment of the program's budget. Sent
 * to the directory of the turn, which forwards it to the holder, or directly to the holder.
 */
struct ChainRequest {
  1: i64 id
  2: string turn
  3: string account
  4: string program
  /** Name of the VM that the answer is sent to. */
  5: string requester
}

struct ChainTurn {
  1: string id
  2: binary record
}

/** Answer to a ChainRequest, from the holder, or from the directory if no holder is registered there. */
struct ChainAnswer {
  1: i64 id
  2: string program
  /** Oldest first; empty if the sender does not hold the turn. */
  3: list<ChainTurn> turns
  /** Tokens of the program's budget that now belong to the requester. */
  4: i64 tokens
  /** Time at which these tokens expire, in Unix milliseconds. */
  5: i64 tokensExpireMillis
}

/** Announces that the budget of a program is exhausted, with the total of the tokens that were allotted to all VMs. */
struct BudgetExhausted {
  1: string program
  2: i64 allottedTokens
}

union Message {
  1: Hello hello
  2: HelloProof helloProof
  3: ForwardRequest forwardRequest
  4: ForwardHead forwardHead
  5: ForwardChunk forwardChunk
  6: ForwardEnd forwardEnd
  7: ForwardCancel forwardCancel
  8: AttemptStart attemptStart
  9: AttemptCancel attemptCancel
  10: AttemptResume attemptResume
  11: AttemptHead attemptHead
  12: AttemptChunk attemptChunk
  13: AttemptEnd attemptEnd
  14: CacheRelease cacheRelease
  15: CacheRenew cacheRenew
  16: EndpointReport endpointReport
  17: Heartbeat heartbeat
  18: LimitRequest limitRequest
  19: LimitTransfer limitTransfer
  20: LimitAcknowledgement limitAcknowledgement
  21: Opaque opaque
  22: LimitCarryReport limitCarryReport
  23: LimitCarryAcknowledgement limitCarryAcknowledgement
  24: LimitLeaseRequest limitLeaseRequest
  25: LimitLeaseWord limitLeaseWord
  26: TokenRequest tokenRequest
  27: TokenAnswer tokenAnswer
  28: EndpointLoads endpointLoads
  29: TurnLocation turnLocation
  30: ChainRequest chainRequest
  31: ChainAnswer chainAnswer
  32: BudgetExhausted budgetExhausted
}

/* Records of the shard streams. */

struct ClaimRecord {
  1: i64 basedOnEpoch
  2: string vm
  3: i64 incarnation
  4: bool release
}

struct ProgramCreated {
  1: i64 epoch
  2: string program
  3: string clientAccount
  4: optional string parent
  5: string root
  6: i64 budgetTokens
  7: i64 createdMillis
  8: bool implicitProgram
  9: optional string idempotencyKey
  10: string requestId
  11: i64 reservationTokens
}

struct TurnEnded {
  1: i64 epoch
  2: string program
  3: i32 turn
  4: string requestId
  5: optional string idempotencyKey
  6: binary requestDigest
  7: binary previousHash
  8: binary messages
  9: binary answer
  10: i64 promptTokens
  11: i64 cachedTokens
  12: i64 completionTokens
  13: i64 endedMillis
  14: i64 nextReservationTokens
  15: optional string contentType
  16: optional string serviceName
  17: i32 status
  18: i64 spentTokens
  19: binary stored
}

/** Raises the reservation for the next turn of a program. The record is applied before that turn runs. */
struct ReservationRaised {
  1: i64 epoch
  2: string program
  3: i64 tokens
}

struct CallIntent {
  1: i64 epoch
  2: string clientAccount
  3: string idempotencyKey
  4: string serviceName
  5: string requestId
  6: binary requestDigest
  7: i64 intendedMillis
}

struct CallEnded {
  1: i64 epoch
  2: string clientAccount
  3: string idempotencyKey
  4: string requestId
  5: i32 resultCode
  6: i32 status
  7: optional string contentType
  8: binary answer
  9: i64 endedMillis
}

struct ProgramEnded {
  1: i64 epoch
  2: string program
  3: i32 resultCode
  4: i64 endedMillis
}

struct PoisonObserved {
  1: i64 epoch
  2: string fingerprint
  3: string endpoint
  4: i64 observedMillis
}

/** Tokens that were consumed by an attempt which ran and did not produce a turn. */
struct BudgetCharged {
  1: i64 epoch
  2: string program
  3: i64 tokens
}

/** State of one shard below an offset; replaces every record below it and nothing at or above it. */
struct ShardCheckpoint {
  1: i64 epoch
  2: i64 coversBelow
  3: i32 part
  4: i32 parts
  5: binary state
}

union ShardRecord {
  1: ClaimRecord claim
  2: ProgramCreated programCreated
  3: TurnEnded turnEnded
  4: CallIntent callIntent
  5: CallEnded callEnded
  6: ProgramEnded programEnded
  7: PoisonObserved poisonObserved
  8: BudgetCharged budgetCharged
  9: ShardCheckpoint checkpoint
  10: ReservationRaised reservationRaised
}

/* Records of the configuration stream. */

struct DocumentPut {
  1: string serviceName
  2: i64 basedOnVersion
  3: string team
  4: string author
  5: i64 putMillis
  6: string change
  7: bool removed
  8: string document
}

struct AuditNote {
  1: string author
  2: i64 notedMillis
  3: i32 resultCode
  4: string serviceName
  5: string detail
}

struct LimitGeneration {
  1: i64 basedOnGeneration
  2: string coordinator
  3: i64 incarnation
  4: list<string> members
  5: i64 notedMillis
  6: optional list<i64> memberIncarnations
  7: optional list<string> formerMembers
  8: optional list<i64> formerIncarnations
  9: optional bool longWait
}

struct ConfigurationCheckpoint {
  1: i64 coversBelow
  2: binary state
  3: optional i32 part
  4: optional i32 parts
}

union ConfigurationRecord {
  1: DocumentPut documentPut
  2: AuditNote auditNote
  3: LimitGeneration limitGeneration
  4: ConfigurationCheckpoint checkpoint
  5: Opaque opaque
}

/** A completed turn. Its id is its key in the shared map. */
struct StoredTurn {
  1: string account
  2: list<string> ancestors
  3: binary input
  4: binary output
  5: i64 expiresMillis
  /**
   * Number of ancestors, oldest first, that are stored again beside the ancestor that follows them, or beside this turn
   * if none follows.
   */
  6: optional i32 copiedAncestors
}

/** Copies of consecutive ancestors of a turn, without their accounts and ancestors. */
struct StoredChainCopy {
  1: i32 firstPosition
  2: list<StoredTurn> turns
}

/** Tokens of a program's budget that are allotted to a VM. */
struct StoredAllotment {
  1: i64 tokens
  2: i64 expiresMillis
}

/** Heartbeat of a VM, which renews its lease on all quota shares that it holds. */
struct StoredHeartbeat {
  1: i64 incarnation
  2: i64 epoch
  3: i64 sequence
  4: string linkAddress
  5: bool stopping
}

/** A VM's share of the quota of one account, valid as long as the VM's lease of that epoch is in force. */
struct StoredQuotaShare {
  1: i64 incarnation
  2: i64 epoch
  3: i64 sequence
  4: i32 parts
}
