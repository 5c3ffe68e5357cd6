package org.quetzalshunt.core.limit;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** What the limits ask of the process around them. Both calls return at once and may fail without a word. */
public interface LimitPort {
    /** Sends a message to the VM of this name; it may be lost, late or doubled on the way. */
    void send(String vm, LimitMessage message);

    /**
     * Appends a proposal to the configuration stream. The answer does not matter: the proposal is in force when it is
     * read back from the stream, and void when another one based on the same generation comes first.
     */
    void appendGeneration(LimitGenerationProposal proposal);

    /** Joins two functions. */
    static LimitPort of(BiConsumer<String, LimitMessage> sender, Consumer<LimitGenerationProposal> appender) {
        return new LimitPort() {
            @Override
            public void send(String vm, LimitMessage message) {
                sender.accept(vm, message);
            }

            @Override
            public void appendGeneration(LimitGenerationProposal proposal) {
                appender.accept(proposal);
            }
        };
    }
}
