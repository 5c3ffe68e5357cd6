package org.quetzalshunt.app.bench.scenario;

/** One request of a program, from its first offer until it is answered or the caller abandons the program. */
final class Call {
    final ProgramRun program;
    final String cacheKey;
    final int turn;
    final long promptTokens;
    final long newPromptTokens;
    final long outputTokens;
    final long firstOfferedMillis;
    long deadlineMillis;
    int attempts;
    String avoidEndpoint = "";

    Call(
            ProgramRun program,
            String cacheKey,
            int turn,
            long promptTokens,
            long newPromptTokens,
            long outputTokens,
            long firstOfferedMillis) {
        this.program = program;
        this.cacheKey = cacheKey;
        this.turn = turn;
        this.promptTokens = promptTokens;
        this.newPromptTokens = newPromptTokens;
        this.outputTokens = outputTokens;
        this.firstOfferedMillis = firstOfferedMillis;
    }

    AccountLoad account() {
        return program.script.account();
    }
}
