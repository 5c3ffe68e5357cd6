package org.quetzalshunt.core.limit;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Connects the limits to the process that hosts them. Both methods return at once and may fail silently. */
public interface LimitPort {
    /** Sends a message to the VM of this name. The message may be lost, delayed or duplicated. */
    void send(String vm, LimitMessage message);

    /**
     * Appends a proposal to the configuration stream. The result does not matter: the proposal takes effect when it is
     * read back from the stream, and is void if another one based on the same generation comes first.
     */
    void appendGeneration(LimitGenerationProposal proposal);

    /** Creates a port from two functions. */
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
