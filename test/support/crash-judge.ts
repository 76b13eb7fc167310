/**
Judges a day on which a part of prompts crashes engines, by what reached the engines.
*/

/** Within this time of the fifth crash, every gateway in touch must know of it. */
const noticeMilliseconds = 3000;
const crashesUntilNoticed = 5;
/** Requests with the part that may still reach engines after that. */
const maxSentOn = 3;
/** Sound requests with the first part of the crashing ones, from which their share is judged. */
const minJudged = 20;
const minBegunShare = 0.5;

type SoundRequest = {readonly at: number; readonly isHeld: boolean; readonly hasCrashingFirstPart: boolean};

/**
Collects what happened; `violations` is asked once the day has ended.

@example
```
judge.recordSent('r1', time.now, true);
judge.violations;
```
*/
export class CrashJudge {
	readonly crashes: number[] = [];
	readonly #sentOn = new Set<string>();
	readonly #sound: SoundRequest[] = [];
	#lastCrashingAt = Number.NEGATIVE_INFINITY;

	recordCrash(at: number): void {
		this.crashes.push(at);
	}

	/** Records a request with the part that reaches an engine; `isInTouch` is said of the gateway that sent it. */
	recordSent(requestId: string, at: number, isInTouch: boolean): void {
		const fifth = this.crashes[crashesUntilNoticed - 1];
		if (isInTouch && fifth !== undefined && at > fifth + noticeMilliseconds) {
			this.#sentOn.add(requestId);
		}
	}

	recordCrashingArrival(at: number): void {
		this.#lastCrashingAt = at;
	}

	recordSound(request: SoundRequest): void {
		this.#sound.push(request);
	}

	/** Sound requests that were held back, whatever their parts. */
	get soundHeld(): number {
		return this.#sound.filter(({isHeld}) => isHeld).length;
	}

	get violations(): readonly string[] {
		const from = (this.crashes[crashesUntilNoticed - 1] ?? this.crashes.at(-1) ?? Number.POSITIVE_INFINITY) + (2 * noticeMilliseconds);
		const judged = this.#sound.filter(({at, hasCrashingFirstPart}) => hasCrashingFirstPart && at >= from && at <= this.#lastCrashingAt);
		const begun = judged.filter(({isHeld}) => !isHeld).length;
		return [
			...this.#sentOn.size > maxSentOn ? [`${this.#sentOn.size} requests with the part sent on after the fifth crash`] : [],
			...judged.length >= minJudged && begun < judged.length * minBegunShare ? [`${begun} of ${judged.length} sound requests begun`] : [],
			...this.crashes.length === 0 && this.soundHeld > 0 ? [`${this.soundHeld} sound requests held back though no part crashes engines`] : [],
		];
	}
}
