/**
A route of the configuration: which requests go to which services, and how they may be treated.
*/

/**
What the operator declares for one host and path prefix.

`idempotent` requests may run more than once; `non-idempotent` ones at most once.
A stream may run again only from behind its last event, and only if `isResumable`.
*/
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: 'idempotent' | 'non-idempotent' | 'streaming';
	readonly isResumable: boolean;
	/** The longest time that a request may be kept waiting. */
	readonly timeoutMilliseconds: number;
	/** The time within which an answer, or a stream's first event, is on time. */
	readonly targetLatencyMilliseconds: number;
	/** How long callers wait for a stream's first event before they give up. */
	readonly firstEventPatienceMilliseconds: number;
	/** Rank of the requests; 0 is the most urgent. */
	readonly priority: number;
	/** Replicas to which one request may be sent. */
	readonly mostAttempts: number;
	/** Services with their relative weights, at least one. */
	readonly split: ReadonlyArray<{readonly service: string; readonly weight: number}>;
};
