/**
 * Shares of client accounts in the slots of a service that is short of them: which accounts use more than their share
 * over all gateways, from this VM's own use and the reports of its peers.
 */
package org.quetzalshunt.core.share;
