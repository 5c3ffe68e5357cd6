/**
 * Links between the system's own processes: Thrift messages in length-prefixed frames over TCP, opened by a mutual
 * proof of the deployment's shared secret. A link that is silent for too long is closed by whoever notices.
 */
package org.quetzalshunt.server.transport;
