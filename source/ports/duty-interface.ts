/**
Interface to the platform, with the calls that only one gateway at a time may make.
*/

type Authority = {
	/** Name of the calling gateway. */
	readonly holder: string;
	readonly fencingToken: number;
	/** Checked just before the call is written to its connection; false stops it. */
	readonly mayCall: () => boolean;
};

/**
- `accepted`: the platform has the report.
- `fenced`: the platform has seen a higher token.
- `busy`: too many calls; not performed.
- `rejected`: another status; not performed.
- `not sent`: no byte of the call was written.
- `unknown`: no answer; the call may have been performed, or may be later.
*/
type CallOutcome =
	| {readonly kind: 'accepted' | 'fenced' | 'busy'}
	| {readonly kind: 'rejected' | 'not sent' | 'unknown'; readonly reason: string};

/**
Calls have a timeout and never throw.
*/
export type DutyInterface = {
	/** Reports the usage of one window; `content` is what `formatUsage` returned. */
	reportUsage(window: number, content: string, authority: Authority): Promise<CallOutcome>;
};
