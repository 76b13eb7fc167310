/**
Remembers with which parts prompts have been answered lately.
*/

/** Answers after which a part counts as established. */
const minAnswers = 3;
/** Parts that are remembered; the one that was answered longest ago is forgotten first. */
const maxParts = 4096;

/**
Counts by part the answers of this gateway, and those of peers that it was told of.

@example
```
answered.record(['5c1e07a2']);
answered.isEstablished('5c1e07a2'); // false
```
*/
export class AnsweredParts {
	readonly #answers = new Map<string, number>();

	record(parts: readonly string[]): void {
		for (const part of parts) {
			const count = this.#answers.get(part) ?? 0;
			this.#answers.delete(part);
			this.#answers.set(part, count + 1);
		}

		const excess = Math.max(0, this.#answers.size - maxParts);
		for (const part of [...this.#answers.keys()].slice(0, excess)) {
			this.#answers.delete(part);
		}
	}

	/** True when several prompts with the part have been answered. */
	isEstablished(part: string): boolean {
		return (this.#answers.get(part) ?? 0) >= minAnswers;
	}
}
