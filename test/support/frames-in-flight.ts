/**
Frames between processes on a virtual clock.
*/

type Frame = {readonly at: number; readonly link: string; readonly deliver: () => void};

/**
Invariant: frames of one link are delivered in the order in which they were sent.

@example
```
frames.send('l1', now + 20, () => receive(message));
frames.deliver(now);
```
*/
export class FramesInFlight {
	#frames: readonly Frame[] = [];

	/** Sends a frame that arrives at `at`, or behind the one before it on its link. */
	send(link: string, at: number, deliver: () => void): void {
		const last = this.#frames.findLast(frame => frame.link === link)?.at ?? 0;
		this.#frames = [...this.#frames, {at: Math.max(last, at), link, deliver}];
	}

	/** Loses what is under way on a link. */
	drop(link: string): void {
		this.#frames = this.#frames.filter(frame => frame.link !== link);
	}

	/** Delivers what has arrived by now. */
	deliver(now: number): void {
		const due = this.#frames.filter(({at}) => at <= now);
		this.#frames = this.#frames.filter(({at}) => at > now);
		for (const frame of due.toSorted((first, second) => first.at - second.at)) {
			frame.deliver();
		}
	}
}
