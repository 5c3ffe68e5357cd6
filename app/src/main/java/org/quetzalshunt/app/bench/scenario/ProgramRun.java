package org.quetzalshunt.app.bench.scenario;

/** Mutable progress of one program during a run. */
final class ProgramRun {
    final ProgramScript script;
    int turn;
    long historyTokens;
    long turnStartedMillis;
    long latencyMillis;
    int outstanding;
    boolean ended;

    ProgramRun(ProgramScript script) {
        this.script = script;
    }

    ProgramScript.Turn currentTurn() {
        return script.turns().get(turn);
    }

    boolean isLastTurn() {
        return turn + 1 == script.turns().size();
    }
}
