package review2;

/** Configurations like those of a small deployment. */
final class Configurations {
    private Configurations() {}

    private static final String LIMITS =
            """
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            """;

    static String plain(int version) {
        return text(version, 2, 60);
    }

    /**
     * A configuration.
     *
     * @param streamAttempts max_attempts of the route of streams
     * @param retentionSeconds retention_s of the turns
     */
    static String text(int version, int streamAttempts, int retentionSeconds) {
        return """
               {"version":%d,"routes":[
                {"name":"chat","host":"shop.example","path_prefix":"/chat/","route_type":"streaming","timeout_ms":3000,
                 "target_latency_ms":200,"priority":1,"service":"llm","max_attempts":%d,"stateful":true,
                 "retention_s":%d,"public":false,"sticky":true,"target_gap_ms":150},
                {"name":"look","host":"shop.example","path_prefix":"/look/","route_type":"idempotent","timeout_ms":1500,
                 "target_latency_ms":250,"priority":2,"service":"app","max_attempts":2,"public":false},
                {"name":"order","host":"shop.example","path_prefix":"/order/","route_type":"non_idempotent",
                 "timeout_ms":6000,"target_latency_ms":800,"priority":2,"service":"app","max_attempts":2,"public":false}],
                "services":[{"name":"llm","health_path":"/healthz","max_connections":140,
                  "engine":{"slots":8,"kv_capacity":90416,"chunk_tokens":4}},
                 {"name":"app","health_path":"/healthz","max_connections":100}],
                %s
                "tenants":[{"name":"arusha","api_keys":["key-1"],"priority":1,"rate_per_s":0,"burst":0},
                 {"name":"moshi","api_keys":["key-2"],"priority":1,"rate_per_s":0,"burst":0}]}
               """
                .formatted(version, streamAttempts, retentionSeconds, LIMITS);
    }
}
