/**
A route of the configuration: which requests go to which services, and the rules for retries and time limits.
*/

/**
What the operator declares for one host and path prefix.

An `idempotent` request may run more than once, a `non-idempotent` one at most once.
A stream may be resumed only after its last event, and only if `isResumable`.
*/
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: 'idempotent' | 'non-idempotent' | 'streaming';
	readonly isResumable: boolean;
	/** Maximum time that a request may be kept waiting. */
	readonly timeoutMilliseconds: number;
	/** Latency up to which an answer, or a stream's first event, is on time. */
	readonly targetLatencyMilliseconds: number;
	/** How long callers wait for a stream's first event before they give up. */
	readonly firstEventPatienceMilliseconds: number;
	/** Priority of the requests; 0 is the most urgent. */
	readonly priority: number;
	/** True when requests need no key, also if the configuration has teams. */
	readonly isPublic: boolean;
	/** Maximum number of targets to which one request may be sent. */
	readonly mostAttempts: number;
	/** Services that share the requests, with their relative weights; at least one. */
	readonly split: ReadonlyArray<{readonly service: string; readonly weight: number}>;
};
