/**
Request of a caller, parsed and classified by the gateway.
*/
import type {Importance} from '../generated/messages.js';

/**
Everything that is needed to run a request at a target.
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
	/** Start of the prompt. Requests with an equal one share a prompt prefix and are routed to the same targets if possible. */
	readonly prefix: string;
};
