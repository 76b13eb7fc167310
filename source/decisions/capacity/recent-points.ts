/**
Fits a line through recent points, of which some may be far off.

Load: the time of a decode step grows with the requests that run, and the prefill time of a
token with the length of the prompt. Points in which a machine was slow for a moment must not
tilt the line, so its slope is the median of the slopes between pairs of points (Theil-Sen).
*/
import * as option from 'fp-ts/lib/Option.js';

type Point = {readonly x: number; readonly y: number; readonly at: number};

type Options = {
	/** Points that are kept. A fit compares each with each, so its cost grows with the square. */
	readonly size: number;
	readonly lifetimeMilliseconds: number;
	/** Points without which there is no line. */
	readonly minPoints: number;
	/** Smallest distance between the lower and the upper quartile of x for which there is a line. */
	readonly minSpread: number;
};

type Line = {readonly slope: number; readonly intercept: number};

const ascending = (values: readonly number[]): readonly number[] => values.toSorted((first, second) => first - second);

const quantile = (values: readonly number[], share: number): number => ascending(values)[Math.floor(values.length * share)]!;

/**
Points that are not finite are ignored.

@example
```
const points = new RecentPoints({size: 48, lifetimeMilliseconds: 120_000, minPoints: 24, minSpread: 4});
points.record({x: 10, y: 6.4}, now);
points.fit(now);
```
*/
export class RecentPoints {
	readonly #options: Options;
	readonly #points: Point[] = [];
	#next = 0;

	constructor(options: Options) {
		this.#options = options;
	}

	record({x, y}: Omit<Point, 'at'>, now: number): void {
		if (!Number.isFinite(x) || !Number.isFinite(y)) {
			return;
		}

		this.#points[this.#next] = {x, y, at: now};
		this.#next = (this.#next + 1) % this.#options.size;
	}

	/** Returns none while there are too few points, or while they lie too close together. */
	fit(now: number): option.Option<Line> {
		const {lifetimeMilliseconds, minPoints, minSpread} = this.#options;
		const points = this.#points.filter(({at}) => now - at < lifetimeMilliseconds);
		const allX = points.map(({x}) => x);
		if (points.length < minPoints || quantile(allX, 0.75) - quantile(allX, 0.25) < minSpread) {
			return option.none;
		}

		const slopes = points.flatMap((first, index) => points.slice(index + 1)
			.filter(second => second.x !== first.x)
			.map(second => (second.y - first.y) / (second.x - first.x)));
		const slope = quantile(slopes, 0.5);
		return option.some({slope, intercept: quantile(points.map(({x, y}) => y - (slope * x)), 0.5)});
	}
}
