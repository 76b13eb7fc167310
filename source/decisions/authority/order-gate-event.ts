/**
Everything that can happen to orders at a sidecar.
*/
import type {OrderMessage} from '../../generated/messages.js';

/**
Events of the order gate. `link` names the connection that an event came over;
times are on the sidecar's monotonic clock.
*/
export type OrderGateEvent =
	| {readonly kind: 'raise fence'; readonly link: string; readonly fencingNumber: number}
	| {readonly kind: 'order'; readonly link: string; readonly message: OrderMessage}
	| {
		readonly kind: 'authority read';
		readonly fencingNumber: number;
		/** When the read was started, before the store can have looked. */
		readonly readStartedAt: number;
		/** What the store said was left of the lease; 0 when another holds it, or when the store did not answer. */
		readonly remainingMilliseconds: number;
	}
	| {readonly kind: 'target idle'}
	| {readonly kind: 'order ended'; readonly sequence: number; readonly code: number}
	| {readonly kind: 'engine state'; readonly isChanging: boolean}
	| {readonly kind: 'tick'};
