/**
Parses the HTTP header `Retry-After`, which has two forms: seconds, and a date.
*/

const secondsPattern = /^\d+(?:\.\d+)?$/;
/** An HTTP date ends in this time zone. Text without it is none, although `Date.parse` may accept it. */
const dateSuffix = 'GMT';
const millisecondsPerSecond = 1000;

/**
Returns the delay in milliseconds, or undefined when the text has neither form.

A date is compared with `answeredAt`, the date of the answer itself if it has one, because
the clocks of the two machines may differ.

@example
```
parseRetryAfter('1.5', Date.now()); // 1500
parseRetryAfter('Fri, 04 Dec 2026 12:00:05 GMT', Date.parse('Fri, 04 Dec 2026 12:00:00 GMT')); // 5000
```
*/
export const parseRetryAfter = (text: string, answeredAt: number): number | undefined => {
	const trimmed = text.trim();
	if (secondsPattern.test(trimmed)) {
		return Number(trimmed) * millisecondsPerSecond;
	}

	const date = trimmed.endsWith(dateSuffix) ? Date.parse(trimmed) : Number.NaN;
	return Number.isNaN(date) ? undefined : Math.max(0, date - answeredAt);
};
