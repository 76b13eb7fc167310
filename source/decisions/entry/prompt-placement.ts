/**
Where a prompt is read, and what that takes.
*/
import type {EngineView} from './engine-view.js';

/**
Times are in milliseconds.
*/
export type PromptPlacement = {
	readonly engine: EngineView;
	/** Tokens of the shared parts that it is believed to keep. */
	readonly keptTokens: number;
	readonly way: 'prefill first' | 'in place';
	/** What it takes an idle prefill engine. */
	readonly readMilliseconds: number;
	/** Engine to fetch the shared parts from. */
	readonly fetchFrom: EngineView | undefined;
	/** Time until it is read. */
	readonly latency: number;
	/** Latency and the engine time taken from others; the lower, the better. */
	readonly cost: number;
};
