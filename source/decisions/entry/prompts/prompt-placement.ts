/**
The engine selected to prefill a prompt, and the estimated cost.
*/
import type {EngineView} from './engine-view.js';

/**
Times are in milliseconds.
*/
export type PromptPlacement = {
	readonly engine: EngineView;
	/** Estimated tokens of the shared parts that the engine has cached. */
	readonly cachedTokens: number;
	/** Whether a prefill engine prefills the prompt first, or the decode engine does so in place. */
	readonly way: 'prefill first' | 'in place';
	/** Prefill time on an otherwise idle prefill engine. */
	readonly readMilliseconds: number;
	/** Engine to fetch the KV cache of the shared parts from. */
	readonly fetchFrom: EngineView | undefined;
	/** Estimated time until the prompt is prefilled and handed over to a decode engine. */
	readonly latency: number;
	/** Latency plus the engine time taken from other requests and the penalties; the placement with the lowest cost is chosen. */
	readonly cost: number;
};
