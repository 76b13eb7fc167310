/**
Facts from the status line and headers of a target's answer.
*/
import type {NamedRateLimit} from './named-rate-limit.js';

/** Load of a target at the moment of its answer, by its own account. */
type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How many times as long as usual work takes on the target's VM at this moment; undefined when the target does not say. */
	readonly slowdown: number | undefined;
};

/**
Facts by which an answer is classified. `headers` are the ones to forward to the caller.
*/
export type AnswerFacts = {
	readonly status: number;
	/** The request id that the answer carries, or undefined when it carries none. */
	readonly requestId: string | undefined;
	readonly isSigned: boolean;
	/** True when the target reports that it did not run the request. */
	readonly isNotRun: boolean;
	/** True when the address belongs to another target than the one that was addressed. */
	readonly isOtherTarget: boolean;
	readonly isEncoded: boolean;
	/** False when the answer carries neither a length nor chunks, so that only the end of its connection ends it. */
	readonly isDelimited: boolean;
	/** True when the target reports that it is leaving and wants no new work. */
	readonly isLeaving: boolean;
	/** How long the target wants nothing from this gateway, counted from its answer; undefined when it does not say. */
	readonly pauseMilliseconds: number | undefined;
	/** Load that the target reports; undefined when it reports none, or one that cannot be decoded. */
	readonly load: ReportedLoad | undefined;
	/** True when the target reports a load that cannot be decoded. */
	readonly isLoadMalformed: boolean;
	/** What the target says of its rate limit. */
	readonly rateLimit: NamedRateLimit;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
};
