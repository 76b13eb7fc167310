/**
A caller's request after the gateway has read and classified it.
*/
import type {Importance} from '../generated/messages.js';

/**
All that is needed to run the request at a target.
*/
export type GatewayRequest = {
	readonly requestId: string;
	readonly service: string;
	readonly kind: 'model' | 'plain';
	readonly organisation: string;
	readonly importance: Importance;
	readonly deadlineMilliseconds: number;
	readonly repeatable: boolean;
	readonly idempotencyKey: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** What requests with a shared prompt prefix have in common. */
	readonly prefix: string;
};
