/**
What goes wrong with the targets of a service on a day in virtual time.
*/

/** Shares are of the attempts that it meets; times are in milliseconds. */
export type RetryTrouble = {
	/** Attempts that targets refuse without running them. */
	refused: number;
	/** Attempts whose answer is lost. */
	lost: number;
	/** Attempts that find no free connection. */
	unsent: number;
	/** Longest wait for a connection. */
	connectMilliseconds: number;
	/** Arrivals whose packets are sent again, and the longest that takes. */
	delayed: number;
	delayMilliseconds: number;
	/** Callers that leave while their request is under way. */
	leaving: number;
	/** Longest wait of a prompt for its engine. */
	queueMilliseconds: number;
	/** Requests a second, of its usual number. */
	load: number;
};
