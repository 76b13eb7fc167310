/**
The parts of a prompt that other prompts may have too: all but the last, which belongs to the
request or its session.
*/
import type {RequestFacts} from '../../../fleet/request-facts.js';

type Part = NonNullable<RequestFacts['prompt']>['parts'][number];

/**
Returns the shared parts in their order; none for a request without a prompt.

@example
```
sharedParts(facts).map(({id}) => id); // ['5c1e07a2', '91bd3f06']
```
*/
export const sharedParts = ({prompt}: Pick<RequestFacts, 'prompt'>): readonly Part[] => prompt?.parts.slice(0, -1) ?? [];
