package org.quetzalshunt.core.dispatch;

/** Determines which client accounts use more than their share of a service while it is short of slots. */
@FunctionalInterface
public interface ShareView {
    /** Whether an account is above its share; its first turns then wait behind all others and are refused first. */
    boolean isAboveShare(long nowMillis, String service, String account);

    /** No account is ever above its share. */
    static ShareView none() {
        return (nowMillis, service, account) -> false;
    }
}
