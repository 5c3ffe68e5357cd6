/**
 * Links between the processes of the system: Thrift messages in length-prefixed frames over TCP, opened by a mutual
 * proof of the shared secret of the deployment. Either side closes a link on which it receives no data for the idle
 * timeout.
 */
package org.quetzalshunt.server.transport;
