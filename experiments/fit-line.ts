/**
Least-squares line through measured points.
*/

/**
Returns intercept, slope and the share of the variance that the line explains.

@example
```
fitLine([[1, 3], [2, 5]]).slope; // 2
```
*/
export const fitLine = (points: ReadonlyArray<readonly [number, number]>): {readonly intercept: number; readonly slope: number; readonly explained: number} => {
	const count = points.length;
	const meanX = points.reduce((total, [x]) => total + x, 0) / count;
	const meanY = points.reduce((total, [, y]) => total + y, 0) / count;
	const covariance = points.reduce((total, [x, y]) => total + ((x - meanX) * (y - meanY)), 0);
	const varianceX = points.reduce((total, [x]) => total + ((x - meanX) ** 2), 0);
	const varianceY = points.reduce((total, [, y]) => total + ((y - meanY) ** 2), 0);
	const slope = varianceX === 0 ? 0 : covariance / varianceX;
	return {intercept: meanY - (slope * meanX), slope, explained: varianceY === 0 ? 1 : (slope * covariance) / varianceY};
};
