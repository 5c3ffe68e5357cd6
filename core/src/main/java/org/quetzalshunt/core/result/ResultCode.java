package org.quetzalshunt.core.result;

/**
 * Codes of all results that are reported to callers, operators and other processes. Numbers are stable: a number is
 * never reused. 1xxx invalid requests, 2xxx limits, 3xxx load, 4xxx outcomes of a run, 5xxx platform, 6xxx operator
 * requests, 7xxx settings and command line, 9xxx internal errors and violated invariants.
 */
public enum ResultCode {
    OK(0, 200, "the request was served"),

    MALFORMED_REQUEST(1000, 400, "the request cannot be parsed"),
    MISSING_KEY(1001, 401, "no key came with the request"),
    UNKNOWN_KEY(1002, 401, "the key is not valid for this service"),
    UNKNOWN_SERVICE(1003, 404, "no such service"),
    UNKNOWN_PROGRAM(1004, 404, "no such program for this client account"),
    UNKNOWN_PATH(1005, 404, "no such path"),
    METHOD_NOT_ALLOWED(1006, 405, "the path does not take this method"),
    BODY_TOO_LARGE(1007, 413, "the body is larger than allowed"),
    HEADER_TOO_LARGE(1008, 431, "the headers are larger than allowed"),
    INVALID_FIELD(1009, 422, "a field has a wrong type or value"),
    TURN_OUT_OF_ORDER(1010, 409, "the turn is not the program's next one"),
    HISTORY_MISMATCH(1011, 409, "the messages do not extend the program's history"),
    IDEMPOTENCY_KEY_REUSED(1012, 422, "the idempotency key came before with another request"),
    PROGRAM_ENDED(1013, 410, "the program has ended"),
    INVALID_ENCODING(1014, 400, "the body is not valid UTF-8"),
    REQUEST_TIMEOUT(1015, 408, "the request did not arrive in time"),

    RATE_EXCEEDED(2000, 429, "the client account is over its rate and burst"),
    BUDGET_EXHAUSTED(2001, 402, "the program's budget does not cover this turn"),
    TURN_LIMIT_REACHED(2002, 409, "the program has reached its turn limit"),
    TOO_MANY_CONNECTIONS(2003, 503, "the entry holds as many connections as it may"),

    QUEUE_FULL(3000, 429, "the client account's queue is full"),
    DEADLINE_UNREACHABLE(3001, 503, "the deadline cannot be met under the present load"),
    DEADLINE_PASSED(3002, 504, "the deadline passed before the request ran"),
    NO_ENDPOINT(3003, 503, "no endpoint of the service takes work"),
    STOPPING(3004, 503, "this VM is stopping"),
    OWNER_UNREACHABLE(3005, 503, "the owner of the program's shard cannot be reached"),
    NOT_OWNER(3006, 503, "this VM does not own the program's shard"),
    EVACUATED(3007, 503, "operators evacuate every data centre that has endpoints of the service"),
    MEMORY_SHORT(3008, 503, "this VM has too little free memory for the request"),

    ENDPOINT_FAILED(4000, 502, "the endpoint failed while it ran the request"),
    ENDPOINT_STALLED(4001, 504, "the endpoint made no progress in time"),
    OUTCOME_UNKNOWN(4002, 504, "it is not known whether the request ran; it will not be run again"),
    QUARANTINED(4003, 422, "endpoints died while running this request; it is not run again"),
    CANCELLED(4004, 499, "the caller went away"),
    STALE_EPOCH(4005, 409, "the order came from a former owner"),
    ENDPOINT_REFUSED(4006, 502, "the endpoint refused the request"),
    ANSWER_CUT(4007, 502, "the answer ended before its end mark"),
    DEADLINE_PASSED_RUNNING(4008, 504, "the deadline passed while the request ran"),
    CRASHES_ENDPOINTS(4009, 503, "endpoints crashed while running this request; it is not run for some minutes"),
    CALLER_TOO_SLOW(4010, 499, "the caller held its response unread for too long and was disconnected"),

    LOG_UNAVAILABLE(5000, 503, "the log service does not answer"),
    CONFIGURATION_STALE(5001, 503, "this VM cannot prove that its configuration is current"),
    NOT_READY(5002, 503, "this VM has not yet read its state"),

    VERSION_CONFLICT(6000, 412, "the document changed since the version named"),
    INVALID_DOCUMENT(6001, 422, "the document is not valid"),
    NOT_THE_TEAMS_DOCUMENT(6002, 403, "the document belongs to another team"),
    PRECONDITION_REQUIRED(6003, 428, "a change needs If-Match"),
    APPEND_UNKNOWN(6004, 504, "it is not known whether the change was kept; read it back"),

    INVALID_SETTING(7000, 400, "a setting is wrong"),
    COMMAND_FAILED(7001, 500, "the command failed"),

    INTERNAL_ERROR(9000, 500, "an internal error"),
    PROMISE_BROKEN(9001, 500, "a check inside the program found a broken promise");

    private final int number;
    private final int status;
    private final String meaning;

    ResultCode(int number, int status, String meaning) {
        this.number = number;
        this.status = status;
        this.meaning = meaning;
    }

    /** Stable number on the wire and in error bodies. */
    public int number() {
        return number;
    }

    /** HTTP status of responses with this code. */
    public int status() {
        return status;
    }

    /** Explanation for people, as listed in docs/CODES.md. */
    public String meaning() {
        return meaning;
    }

    /** Decodes a number from the wire; a number that only a newer version defines is {@link #INTERNAL_ERROR}. */
    public static ResultCode fromNumber(int number) {
        for (ResultCode code : values()) {
            if (code.number == number) {
                return code;
            }
        }
        return INTERNAL_ERROR;
    }
}
