/**
Remembers with which parts prompts have been answered lately.
*/

/** Parts that are remembered; the one that was answered longest ago is forgotten first. */
const maxParts = 4096;

/**
Holds the parts of the prompts that this gateway answered, and those that peers report as cleared.

@example
```
answered.record(['5c1e07a2']);
answered.isEstablished('5c1e07a2'); // true
```
*/
export class AnsweredParts {
	readonly #parts = new Set<string>();

	record(parts: readonly string[]): void {
		for (const part of parts) {
			this.#parts.delete(part);
			this.#parts.add(part);
		}

		const excess = Math.max(0, this.#parts.size - maxParts);
		for (const part of [...this.#parts].slice(0, excess)) {
			this.#parts.delete(part);
		}
	}

	/** True when a prompt with the part has been answered. */
	isEstablished(part: string): boolean {
		return this.#parts.has(part);
	}
}
