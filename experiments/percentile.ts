/**
Percentiles of measured values.
*/
import {build} from 'hdr-histogram-js';

const scale = 100;

/**
Returns the value that `share` percent of the values do not exceed, 0 without values.

@example
```
percentile(gaps, 95);
```
*/
export const percentile = (values: readonly number[], share: number): number => {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 100_000_000, numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.max(0, Math.round(value * scale)));
	}

	return values.length === 0 ? 0 : histogram.getValueAtPercentile(share) / scale;
};
