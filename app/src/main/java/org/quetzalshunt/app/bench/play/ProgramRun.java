package org.quetzalshunt.app.bench.play;

/** How far one program has come under one policy. */
final class ProgramRun {
    final ProgramScript script;
    int turn;
    long historyTokens;
    long turnStartedMillis;
    long latencyMillis;
    int outstanding;
    boolean over;

    ProgramRun(ProgramScript script) {
        this.script = script;
    }

    ProgramScript.Turn present() {
        return script.turns().get(turn);
    }

    boolean lastTurn() {
        return turn + 1 == script.turns().size();
    }
}
