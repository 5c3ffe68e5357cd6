package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.quetzalshunt.wire.json.Json;

/** Events of the prefix cache, visible after a delay. Some are lost, which readers detect as gaps in the sequence. */
final class CacheEvents {
    private static final int MAXIMUM_EVENTS = 10_000;

    private final CacheSettings settings;
    private final LongSupplier clockMillis;
    private final Deque<Event> events = new ArrayDeque<>();
    private long sequence;

    private CacheEvents(CacheSettings settings, LongSupplier clockMillis) {
        this.settings = settings;
        this.clockMillis = clockMillis;
    }

    static CacheEvents create(CacheSettings settings, LongSupplier clockMillis) {
        return new CacheEvents(settings, clockMillis);
    }

    void stored(String key, int tokens) {
        add("stored", key, tokens);
    }

    void evicted(String key, int tokens) {
        add("evicted", key, tokens);
    }

    byte[] toJson(long from) {
        long visibleUntil = clockMillis.getAsLong() - settings.eventLagMillis();
        ObjectNode root = Json.object();
        ArrayNode nodes = root.putArray("events");
        long next = from;
        for (Event event : events) {
            if (event.millis() > visibleUntil) {
                break;
            }
            if (event.sequence() >= from) {
                nodes.add(event.toJson());
                next = event.sequence() + 1;
            }
        }
        root.put("next", next);
        return Json.bytes(root);
    }

    private void add(String kind, String key, int tokens) {
        long number = sequence++;
        if (settings.lostEventEvery() > 0 && number % settings.lostEventEvery() == settings.lostEventEvery() - 1) {
            return;
        }
        events.addLast(new Event(number, kind, key, tokens, clockMillis.getAsLong()));
        if (events.size() > MAXIMUM_EVENTS) {
            events.removeFirst();
        }
    }

    private record Event(long sequence, String kind, String key, int tokens, long millis) {
        private ObjectNode toJson() {
            return Json.object()
                    .put("sequence", sequence)
                    .put("kind", kind)
                    .put("key", key)
                    .put("tokens", tokens);
        }
    }
}
